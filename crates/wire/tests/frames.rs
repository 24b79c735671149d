//! Frames as bytes.

use bytes::Bytes;
use damasktrack_wire::{call_frame, codec, frame_reader};

fn stream(frames: &[call_frame::CallFrame]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for frame in frames {
        call_frame::encode_frame(frame, &mut bytes).unwrap();
    }
    bytes
}

/// Guards against a stream that was cut anywhere and is read as complete.
#[test]
fn cut_streams_lack_their_last_frame() {
    let frames = [
        call_frame::CallFrame::Working,
        call_frame::CallFrame::Data(Bytes::from_static(b"0123456789")),
        call_frame::CallFrame::End { report: None },
    ];
    let bytes = stream(&frames);
    for cut in 0..=bytes.len() {
        let mut reader = frame_reader::FrameReader::new(&bytes[..cut]);
        let mut read = Vec::new();
        while let Ok(Some(frame)) = reader.next_frame() {
            read.push(frame);
        }
        assert_eq!(read.len() == frames.len(), cut == bytes.len(), "cut at {cut}");
        assert_eq!(read, frames[..read.len()]);
    }
}

/// Guards against memory that a forged length makes the reader take.
#[test]
fn announced_lengths_are_bounded() {
    let mut reader = frame_reader::FrameReader::new(&[0xff; 64][..]);
    let error = reader.next_frame().unwrap_err();
    let expected = codec::CodecError::TooLarge { length: 0xffff_ffff };
    assert_eq!(error.to_string(), format!("invalid frame: {expected}"));
}

/// Guards against a reader that panics or does not end on corrupted bytes.
#[test]
fn corrupted_streams_are_read_to_an_end() {
    let frames = [
        call_frame::CallFrame::Data(Bytes::from_static(b"0123456789")),
        call_frame::CallFrame::End { report: None },
    ];
    let bytes = stream(&frames);
    for position in 0..bytes.len() {
        for flipped in 1..=u8::MAX {
            let mut corrupted = bytes.clone();
            corrupted[position] ^= flipped;
            let mut reader = frame_reader::FrameReader::new(corrupted.as_slice());
            while let Ok(Some(_frame)) = reader.next_frame() {}
        }
    }
}
