//! Plain HTTP/1.1 over blocking sockets, for clients and stand-ins.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Head of a request or response: first line and headers in order.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// Buffered connection.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        // Without this option small messages wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; false at the end of the input.
    fn fill(&mut self) -> io::Result<bool> {
        let mut piece = vec![0; 64 * 1024];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` if the connection ended before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { first, headers }));
            }
            if !self.fill()? {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::Error::other("connection ended within a head"));
            }
        }
    }

    /// Reads `length` bytes. If `rate` is set, reads at most so many bytes a second.
    pub fn read_exact(&mut self, length: usize, rate: Option<u64>) -> io::Result<Vec<u8>> {
        let began = Instant::now();
        let mut body = Vec::new();
        while body.len() < length {
            if self.buffer.is_empty() {
                if let Some(rate) = rate {
                    let due = Duration::from_secs_f64(body.len() as f64 / rate as f64);
                    std::thread::sleep(due.saturating_sub(began.elapsed()));
                }
                if !self.fill()? {
                    return Err(io::Error::other("connection ended within a body"));
                }
            }
            let count = (length - body.len()).min(self.buffer.len());
            body.extend(self.buffer.drain(..count));
        }
        Ok(body)
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(io::Error::other("connection ended within a line"));
            }
        }
    }

    /// Reads the body that belongs to `head`.
    pub fn read_body(&mut self, head: &Head, rate: Option<u64>) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            let length = head
                .get("content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            return self.read_exact(length, rate);
        }
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::other("malformed chunk"))?;
            body.extend(self.read_exact(size, rate)?);
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            self.read_line()?;
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

pub fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}
