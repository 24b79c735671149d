//! Tests of encoding and reading frames.

use bytes::Bytes;
use damasktrack_wire::{call_frame, codec, frame_reader};

fn encode_frames(frames: &[call_frame::CallFrame]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for frame in frames {
        call_frame::encode_frame(frame, &mut bytes).unwrap();
    }
    bytes
}

/// Guards against a truncated stream that is read as complete.
#[test]
fn truncated_streams_lack_their_last_frame() {
    let frames = [
        call_frame::CallFrame::Working,
        call_frame::CallFrame::Data(Bytes::from_static(b"0123456789")),
        call_frame::CallFrame::End { report: None },
    ];
    let bytes = encode_frames(&frames);
    for length in 0..=bytes.len() {
        let mut reader = frame_reader::FrameReader::new(&bytes[..length]);
        let mut read = Vec::new();
        while let Ok(Some(frame)) = reader.next_frame() {
            read.push(frame);
        }
        assert_eq!(
            read.len() == frames.len(),
            length == bytes.len(),
            "truncated to {length} bytes"
        );
        assert_eq!(read, frames[..read.len()]);
    }
}

/// Guards against memory allocation by a forged frame length.
#[test]
fn frame_lengths_are_bounded() {
    let mut reader = frame_reader::FrameReader::new(&[0xff; 64][..]);
    let error = reader.next_frame().unwrap_err();
    let expected = codec::CodecError::TooLarge { length: 0xffff_ffff };
    assert_eq!(error.to_string(), format!("invalid frame: {expected}"));
}

/// Guards against a reader that panics or does not terminate on corrupted bytes.
#[test]
fn reading_corrupted_streams_terminates() {
    let frames = [
        call_frame::CallFrame::Data(Bytes::from_static(b"0123456789")),
        call_frame::CallFrame::End { report: None },
    ];
    let bytes = encode_frames(&frames);
    for position in 0..bytes.len() {
        for flipped in 1..=u8::MAX {
            let mut corrupted = bytes.clone();
            corrupted[position] ^= flipped;
            let mut reader = frame_reader::FrameReader::new(corrupted.as_slice());
            while let Ok(Some(_frame)) = reader.next_frame() {}
        }
    }
}
