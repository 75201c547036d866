//! Byte counts of HTTP exchanges, including heads, to measure the traffic of control exchanges.

use std::cell::Cell;
use std::rc::Rc;

use actix_http::header::{HOST, HeaderMap};
use awc::ClientRequest;

/// `HTTP/1.1` with a space and the line ending.
const VERSION_BYTES: usize = 11;
/// `: ` and the line ending of a header.
const SEPARATOR_BYTES: usize = 4;
/// The empty line at the end of a head.
const HEAD_TERMINATOR_BYTES: usize = 2;
/// The three digits of a status code and a space.
const STATUS_CODE_BYTES: usize = 4;
/// The `date` header that the library adds to requests.
const DATE_HEADER_BYTES: usize = 37;
/// The `content-length` header without its digits.
const LENGTH_HEADER_BYTES: usize = 18;

/// Counts the bytes that one client sent and received.
#[derive(Debug, Clone, Default)]
pub(crate) struct TrafficCounter(Rc<Cell<u64>>);

impl TrafficCounter {
    /// Returns the bytes sent and received so far.
    pub fn total_bytes(&self) -> u64 {
        self.0.get()
    }

    pub fn add(&self, bytes: usize) {
        self.0.set(self.0.get() + bytes as u64);
    }

    /// Adds a request with a body of `body` bytes, in the form in which the library sends it.
    pub fn add_request(&self, req: &ClientRequest, body: usize) {
        let uri = req.get_uri();
        let path = uri.path_and_query().map_or(1, |p| p.as_str().len());
        let line = req.get_method().as_str().len() + path + VERSION_BYTES + 1;
        let mut added = DATE_HEADER_BYTES + LENGTH_HEADER_BYTES + decimal_digits(body);
        if !req.headers().contains_key(HOST) {
            let authority = uri.authority().map_or(0, |a| a.as_str().len());
            added += HOST.as_str().len() + SEPARATOR_BYTES + authority;
        }
        self.add(line + header_bytes(req.headers()) + added + HEAD_TERMINATOR_BYTES + body);
    }

    /// Adds the head of a received response.
    pub fn add_response_head(&self, status: awc::http::StatusCode, headers: &HeaderMap) {
        let reason = status.canonical_reason().map_or(0, str::len);
        self.add(
            VERSION_BYTES
                + STATUS_CODE_BYTES
                + reason
                + header_bytes(headers)
                + HEAD_TERMINATOR_BYTES,
        );
    }
}

fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES).sum()
}

fn decimal_digits(number: usize) -> usize {
    number.checked_ilog10().map_or(1, |digits| digits as usize + 1)
}
