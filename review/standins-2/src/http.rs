//! HTTP/1.1 messages.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A message with its complete body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|header| header.0.eq_ignore_ascii_case(name));
        found.map(|header| header.1.as_str())
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Value in the query of a request's target.
    pub fn query(&self, name: &str) -> &str {
        let query = self.target().split_once('?').map_or("", |parts| parts.1);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|pair| pair.0 == name).map_or("", |pair| pair.1)
    }
}

fn broken(text: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, text.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.pop() != Some(b'\n') {
        return Err(broken("the connection ended within a line"));
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).map(Some).map_err(|_| broken("not UTF-8"))
}

/// Reads a message; `None` if the connection ended before its first byte.
pub fn read(reader: &mut impl BufRead) -> Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Reads a message up to its body.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<Message>> {
    let Some(first) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        first,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("the connection ended within a head"))?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    Ok(Some(message))
}

/// Reads the body of a message.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> Result<()> {
    if message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    {
        loop {
            let line = read_line(reader)?.ok_or_else(|| broken("the connection ended within a body"))?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("no chunk size"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length = message.header("content-length").map_or(Ok(0), str::parse);
    message.body = vec![0; length.map_err(|_| broken("no length"))?];
    reader.read_exact(&mut message.body)
}

/// Writes a message with its length.
pub fn write(stream: &mut impl Write, first: &str, headers: &[(&str, &str)], body: &[u8]) -> Result<()> {
    let mut text = format!("{first}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Connection of a client.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout_ms: u64) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(timeout_ms)))?;
        stream.set_write_timeout(Some(Duration::from_millis(timeout_ms)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn call(&mut self, first: &str, headers: &[(&str, &str)], body: &[u8]) -> Result<Message> {
        write(&mut self.stream, first, headers, body)?;
        self.answer()
    }

    /// Reads the next response; informational ones are left out.
    pub fn answer(&mut self) -> Result<Message> {
        loop {
            let message = read(&mut self.reader)?.ok_or_else(|| broken("closed without a response"))?;
            if message.status() >= 200 {
                return Ok(message);
            }
        }
    }
}

/// Sends one request on a new connection.
pub fn call(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout_ms: u64,
) -> Result<Message> {
    Connection::open(address, timeout_ms)?.call(first, headers, body)
}
