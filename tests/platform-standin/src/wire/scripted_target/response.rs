//! The scripted response to one attempt.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;

use super::Target;
use crate::wire::caller::request_body;
use crate::wire::http::{BodyEnd, Connection, body_end, header, write_all};
use crate::wire::judge::{Attempt, event_text};
use crate::wire::script::{DEADLINE_MS, Exchange, Fault, Framing, Position, Response};

/// Bytes in a line of a plain response. Some responses cross the buffers of daemons.
const LINE_BYTES: [usize; 3] = [40, 3_000, 30_000];

/// How a scripted response ended.
pub enum Played {
    /// The connection can be used again.
    Sent,
    /// The target closes the connection.
    Closed,
}

impl Target {
    /// Responds to an attempt as the script says.
    pub(super) async fn respond(
        self: &Rc<Self>,
        connection: &mut Connection,
        head: &str,
        id: &str,
    ) -> io::Result<Played> {
        let target_of = head.split(' ').nth(1).unwrap_or_default();
        let number = target_of.split_once("?exchange=").and_then(|(_, number)| number.parse().ok());
        let number: usize = number.ok_or(io::ErrorKind::InvalidData)?;
        let exchange = self.place.script.exchange(number);
        let left_ms = header(head, "x-request-deadline").and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(left_ms.unwrap_or(DEADLINE_MS));
        let attempt_index = self.place.log.borrow().attempts.len();
        let earlier =
            self.place.log.borrow().attempts.iter().filter(|a| a.exchange == number).count();
        let response = exchange.responses.get(earlier).copied().unwrap_or(Response::FAULTLESS);
        let seal = format!("{id}.{}.{}.{earlier}", self.id, self.born());
        let after = header(head, "last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let parts: Vec<String> = pieces(exchange, &seal, after, response.fault);
        let (status, reason) = match response.fault {
            Fault::Refuse(status) => (status, "Refused"),
            Fault::Fail => (500, "Failed"),
            _ => (200, "OK"),
        };
        let step = response.fault.name();
        self.place.log.borrow_mut().count(step);
        self.place.log.borrow_mut().attempts.push(Attempt {
            exchange: number,
            id: id.into(),
            seal: seal.clone(),
            status,
            after,
            software: self.software(),
            body: parts.concat(),
            step,
            ..Attempt::default()
        });
        let is_refused = matches!(response.fault, Fault::Refuse(_));
        let mut body = Vec::new();
        let end = body_end(head, BodyEnd::Length(0));
        if !response.is_early {
            connection.read_body(end, &mut body).await?;
        }
        self.with(attempt_index, |attempt| attempt.has_run = !is_refused);
        let origin = if is_refused {
            "X-Not-Executed: 1".to_owned()
        } else {
            format!("X-Response-Seal: {seal}")
        };
        let leaving = self.leaving_header();
        let text =
            format!("HTTP/1.1 {status} {reason}\r\nX-Request-Id: {id}\r\n{leaving}{origin}\r\n");
        let segments = encode(&text, &parts, response.framing);
        let played = self.play(connection, &segments, &response, deadline, attempt_index).await?;
        if matches!(played, Played::Sent) && response.is_early {
            connection.read_body(end, &mut body).await?;
        }
        let is_read = !response.is_early || matches!(played, Played::Sent);
        if is_read && body != request_body(exchange, number) {
            self.with(attempt_index, |attempt| attempt.has_other_body = true);
        }
        Ok(played)
    }

    /// Writes a response up to the position of its fault.
    async fn play(
        self: &Rc<Self>,
        connection: &Connection,
        segments: &[(String, usize)],
        response: &Response,
        deadline: Instant,
        attempt: usize,
    ) -> io::Result<Played> {
        let stream = &connection.stream;
        let copy: String = segments.iter().map(|(text, _)| text.as_str()).collect();
        let stray = "HTTP/1.1 200 OK\r\nX-Response-Seal: nobody\r\nContent-Length: 5\r\n\r\nstray";
        if matches!(response.fault, Fault::Stray { is_first: true }) {
            write_all(stream, stray.as_bytes()).await?;
        }
        let stop = match response.fault {
            Fault::Cut(at) | Fault::Reset(at) | Fault::Kill { at, .. } => Some(at),
            Fault::StopAtDeadline { after } => Some(Position { segment: after, thousandths: 0 }),
            _ => None,
        };
        let stop = stop.map(|at| Position { segment: at.segment.min(segments.len()), ..at });
        for (index, (text, body_bytes)) in segments.iter().enumerate() {
            if index > 0 && response.pause_ms > 0 {
                sleep(Duration::from_millis(response.pause_ms)).await;
            }
            if let Some(at) = stop.filter(|at| at.segment == index) {
                let length = text.len() * at.thousandths / 1_000;
                write_all(stream, &text.as_bytes()[..length]).await?;
                if response.framing == Framing::Close && index > 0 {
                    self.with(attempt, |attempt| attempt.sent += length);
                }
                break;
            }
            write_all(stream, text.as_bytes()).await?;
            self.with(attempt, |attempt| {
                attempt.sent += body_bytes;
                attempt.end = (attempt.sent == attempt.body.len()).then_some(attempt.sent);
            });
        }
        match response.fault {
            Fault::Kill { downtime_ms, .. } => {
                self.kill(Duration::from_millis(downtime_ms));
                return Ok(Played::Closed);
            }
            Fault::Reset(_) => {
                socket2::SockRef::from(&**stream).set_linger(Some(Duration::ZERO))?;
                return Ok(Played::Closed);
            }
            Fault::Cut(Position { segment, .. }) => {
                if response.framing == Framing::Close && segment > 0 {
                    self.with(attempt, |attempt| attempt.end = Some(attempt.sent));
                }
                return Ok(Played::Closed);
            }
            Fault::StopAtDeadline { .. } => {
                sleep(deadline.saturating_duration_since(Instant::now())).await;
                return Ok(Played::Closed);
            }
            Fault::Copy { after_ms } => {
                sleep(Duration::from_millis(after_ms)).await;
                write_all(stream, copy.as_bytes()).await?;
            }
            Fault::Stray { is_first: false } => write_all(stream, stray.as_bytes()).await?,
            _ => {}
        }
        Ok(if response.framing == Framing::Close { Played::Closed } else { Played::Sent })
    }

    fn with(&self, attempt: usize, change: impl FnOnce(&mut Attempt)) {
        change(&mut self.place.log.borrow_mut().attempts[attempt]);
    }
}

/// Returns the body of a response in the pieces in which it is written.
fn pieces(exchange: &Exchange, seal: &str, after: usize, fault: Fault) -> Vec<String> {
    match fault {
        Fault::Refuse(_) | Fault::Fail => vec![format!("not served: {seal}\n")],
        _ if exchange.kind.is_stream() => {
            (after + 1..=exchange.pieces).map(|id| event_text(seal, id)).collect()
        }
        _ => {
            let width = LINE_BYTES[exchange.pieces % LINE_BYTES.len()];
            (0..exchange.pieces).map(|line| format!("{seal} {line:>width$}\n")).collect()
        }
    }
}

/// Returns the head, the pieces and the end of a response as they are written, each with the number
/// of bytes of the body in it.
fn encode(head: &str, pieces: &[String], framing: Framing) -> Vec<(String, usize)> {
    let length: usize = pieces.iter().map(String::len).sum();
    let (header, end) = match framing {
        Framing::Length => (format!("Content-Length: {length}\r\n"), ""),
        Framing::Chunks => ("Transfer-Encoding: chunked\r\n".into(), "0\r\n\r\n"),
        Framing::Close => (String::new(), ""),
    };
    let head = (format!("{head}Content-Type: text/event-stream\r\n{header}\r\n"), 0);
    let pieces = pieces.iter().map(|piece| match framing {
        Framing::Chunks => (format!("{:x}\r\n{piece}\r\n", piece.len()), piece.len()),
        Framing::Length | Framing::Close => (piece.clone(), piece.len()),
    });
    std::iter::once(head).chain(pieces).chain([(end.to_owned(), 0)]).collect()
}
