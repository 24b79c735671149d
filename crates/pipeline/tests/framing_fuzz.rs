//! Fuzz test of the request reader: pipelined heads and bodies, cut at any byte, against the requests that were written.

#[path = "../../ownership/tests/support/case_runner.rs"]
mod case_runner;

use bolero::TypeGenerator;
use damasktrack_pipeline::request_fault::RequestFault;
use damasktrack_pipeline::request_reader::{ReadStep, RequestReader};

const MAX_HEAD_BYTES: usize = 1_024;
const MAX_BODY_BYTES: usize = 400;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The last byte of a piece is lost.
    LoseByte,
    /// A chunk's size line is read as data.
    KeepChunkFraming,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Framing {
    None,
    Length,
    Chunked { size: u8, extension: bool, trailer: bool },
}

/// One request, or bytes that are none.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Operation {
    Request {
        framing: Framing,
        body: u8,
        blank_lines: u8,
        closes: bool,
    },
    Garbage {
        bytes: [u8; 6],
    },
    Cut {
        length: u8,
    },
}

/// What was read: path and body of each request, and the fault that ended the reading, if any.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    requests: Vec<(String, Vec<u8>)>,
    fault: Option<RequestFault>,
}

fn read(pieces: &[&[u8]], fault: Fault) -> Outcome {
    let mut reader = RequestReader::new(MAX_HEAD_BYTES);
    let (mut outcome, mut path) = (Outcome::default(), String::new());
    for piece in pieces {
        let lost = usize::from(fault == Fault::LoseByte && piece.len() > 40);
        reader.input().extend_from_slice(&piece[..piece.len() - lost]);
        loop {
            match reader.read_next() {
                ReadStep::NeedInput => break,
                ReadStep::Head(head) => {
                    head.parts.uri.path().clone_into(&mut path);
                    reader.read_body(MAX_BODY_BYTES);
                }
                ReadStep::Body(mut body) => {
                    let body = body.finish(None).into_bytes();
                    outcome.requests.push((path.clone(), body.to_vec()));
                }
                ReadStep::Fault(fault) => {
                    assert_eq!(outcome.fault, None, "a second fault");
                    outcome.fault = Some(fault);
                }
            }
        }
    }
    outcome
}

/// Returns the bytes of a request and its body, without the framing.
fn write(number: usize, framing: Framing, length: usize, closes: bool) -> (Vec<u8>, Vec<u8>) {
    // The body looks like a request, so that a reader that loses its place finds one there.
    let text = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n".repeat(8);
    let body = text.as_bytes()[..length].to_vec();
    let connection = if closes { "Connection: close\r\n" } else { "" };
    let head = format!("POST /{number} HTTP/1.1\r\nHost: h\r\n{connection}");
    match framing {
        Framing::None => ((head + "\r\n").into_bytes(), Vec::new()),
        Framing::Length => {
            let head = head + &format!("Content-Length: {length}\r\n\r\n");
            ([head.into_bytes(), body.clone()].concat(), body)
        }
        Framing::Chunked {
            size,
            extension,
            trailer,
        } => {
            let mut bytes = (head + "Transfer-Encoding: chunked\r\n\r\n").into_bytes();
            let extension = if extension { ";name=\"value\"" } else { "" };
            for chunk in body.chunks(usize::from(size % 64) + 1) {
                bytes.extend(format!("{:X}{extension}\r\n", chunk.len()).bytes());
                bytes.extend([chunk, b"\r\n"].concat());
            }
            bytes.extend_from_slice(b"0\r\n");
            bytes.extend_from_slice(if trailer { b"Trailer: value\r\n\r\n" } else { b"\r\n" });
            (bytes, body)
        }
    }
}

fn check(fault: Fault, operations: &[Operation]) -> Result<(), String> {
    let (mut bytes, mut cuts, mut expected) = (Vec::new(), Vec::new(), Outcome::default());
    let (mut has_ended, mut has_garbage) = (false, false);
    for (number, operation) in operations.iter().enumerate() {
        match *operation {
            Operation::Request {
                framing,
                body,
                blank_lines,
                closes,
            } => {
                let closes = closes && body > 200;
                bytes.extend("\r\n".repeat(usize::from(blank_lines % 3)).bytes());
                let (request, body) = write(number, framing, usize::from(body), closes);
                bytes.extend(request);
                if !has_ended && !has_garbage {
                    let body = if fault == Fault::KeepChunkFraming && matches!(framing, Framing::Chunked { .. }) {
                        [b"framing", body.as_slice()].concat()
                    } else {
                        body
                    };
                    expected.requests.push((format!("/{number}"), body));
                }
                has_ended |= closes;
            }
            Operation::Garbage { bytes: garbage } => {
                has_garbage = true;
                bytes.extend(garbage);
            }
            Operation::Cut { length } => cuts.push(usize::from(length) + 1),
        }
    }
    let whole = read(&[&bytes], Fault::None);
    let mut pieces = Vec::new();
    let mut rest = bytes.as_slice();
    for cut in cuts.iter().copied().cycle() {
        let (piece, after) = rest.split_at(cut.min(rest.len()));
        pieces.push(piece);
        rest = after;
        if rest.is_empty() {
            break;
        }
    }
    pieces.push(rest);
    let cut = read(&pieces, fault);
    if cut != whole {
        return Err(format!("cuts change the outcome: {cut:?} instead of {whole:?}"));
    }
    let bytewise = read(&bytes.chunks(1).collect::<Vec<_>>(), Fault::None);
    if bytewise != whole {
        return Err(format!(
            "single bytes change the outcome: {bytewise:?} instead of {whole:?}"
        ));
    }
    let before = &whole.requests[..expected.requests.len().min(whole.requests.len())];
    if before != expected.requests || !has_garbage && whole != expected {
        return Err(format!("requests differ: {whole:?} instead of {expected:?}"));
    }
    Ok(())
}

fn run(fault: Fault, cases: u64) -> Result<(), String> {
    case_runner::run(&format!("request reader, {fault:?}"), cases, 12, |operations| {
        check(fault, operations)
    })
}

/// Guards against requests that are lost, shifted, joined or found inside of a body, whatever the cuts, and against
/// requests behind garbage that depend on the cuts.
#[test]
fn pipelined_requests_are_read_as_written() {
    if let Err(violation) = run(Fault::None, 4_000) {
        panic!("{violation}");
    }
}

/// Guards against an oracle that does not detect violations.
#[test]
fn oracle_detects_faults() {
    case_runner::expect_violation(run(Fault::LoseByte, 500), "cuts change");
    case_runner::expect_violation(run(Fault::KeepChunkFraming, 500), "requests differ");
}

/// Guards against unbounded memory: heads, bodies, size lines and trailers without end.
#[test]
fn input_without_end_is_rejected() {
    let head = "POST / HTTP/1.1\r\nHost: h\r\n";
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let cases = [
        ("GET /".to_owned(), "x", RequestFault::HeadTooLarge),
        (head.to_owned(), "X: y\r\n", RequestFault::HeadTooLarge),
        (
            format!("{head}Content-Length: 401\r\n\r\n"),
            "x",
            RequestFault::BodyTooLarge,
        ),
        (chunked.clone(), "2\r\nab\r\n", RequestFault::BodyTooLarge),
        (chunked.clone() + "1;", "x", RequestFault::Malformed),
        (chunked.clone() + "0\r\n", "X: y\r\n", RequestFault::Malformed),
        (chunked + "fffffffffffffffff\r\n", "x", RequestFault::Malformed),
    ];
    for (start, repeated, fault) in cases {
        let repeated = repeated.repeat(32 * 1024);
        let outcome = read(&[start.as_bytes(), repeated.as_bytes()], Fault::None);
        assert_eq!((outcome.requests.len(), outcome.fault), (0, Some(fault)), "{start}");
    }
}
