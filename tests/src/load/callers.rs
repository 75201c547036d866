//! An open-loop load generator: calls start at a fixed rate, whether or not earlier ones have
//! ended.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use cumintrail_client::{Engine as _, HttpEngine, ResponseEvent};
use cumintrail_types::WeightVersion;
use cumintrail_wire::caller::{Completion, CompletionRequest, RefusalBody, STREAM_END};
use cumintrail_wire::engine::GenerateRequest;
use futures_util::StreamExt;
use futures_util::future::join_all;
use hdrhistogram::Histogram;

use crate::cluster::CALLER_KEY;
use crate::standins::engine::response_text;

const OUTPUT_TOKENS: u32 = 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const TRUNCATED: &str = "the answer broke off";

/// The destination of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// A daemon, over a reused connection as a load balancer has it.
    Daemon(SocketAddr),
    /// An engine, over a new connection for each call, as a daemon opens it.
    Engine(SocketAddr),
}

/// The latencies of calls in microseconds, and the numbers of successful and failed calls.
pub struct Latency {
    /// Time from the scheduled start to the first token.
    pub first_token: Histogram<u64>,
    /// Average time between two tokens of a call.
    pub token_gap: Histogram<u64>,
    /// Calls with a complete and correct response.
    pub answered: u64,
    /// Number of failed calls by reason.
    pub failures: BTreeMap<String, u64>,
}

struct Timing {
    first: Duration,
    last: Duration,
}

/// Starts `rate` calls per second for `length`, over the routes in turn, and waits for their end.
pub async fn drive(routes: &[Route], rate: u16, length: Duration) -> Latency {
    let clients = Rc::new(Clients::open());
    let pause = Duration::from_secs(1) / u32::from(rate);
    let calls = u64::from(rate) * length.as_secs();
    let started = Instant::now();
    let mut running = Vec::new();
    for number in 0..calls {
        let due = started + pause * u32::try_from(number).unwrap_or(u32::MAX);
        actix_rt::time::sleep_until(due.into()).await;
        let route = routes[number as usize % routes.len()];
        let clients = clients.clone();
        // Latency counts from the scheduled start, so a delayed start is part of it.
        running.push(actix_rt::spawn(async move { clients.call(route, number, due).await }));
    }
    let mut latency = Latency::new();
    for timing in join_all(running).await {
        latency.record(timing.unwrap_or_else(|_| Err("the caller's task ended".into())));
    }
    latency
}

impl Latency {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS).expect("bounds are valid");
        let failures = BTreeMap::new();
        Self { first_token: histogram(), token_gap: histogram(), answered: 0, failures }
    }

    fn record(&mut self, timing: Result<Timing, String>) {
        let timing = match timing {
            Ok(timing) => timing,
            Err(reason) => {
                *self.failures.entry(reason).or_default() += 1;
                return;
            }
        };
        self.answered += 1;
        let micros = |d: Duration| d.as_micros() as u64;
        self.first_token.saturating_record(micros(timing.first));
        let gap = timing.last.saturating_sub(timing.first) / (OUTPUT_TOKENS - 1);
        self.token_gap.saturating_record(micros(gap));
    }
}

struct Clients {
    daemons: awc::Client,
    engines: HttpEngine,
}

impl Clients {
    fn open() -> Self {
        // With the default connection limit, calls would wait in this client and not in the daemon.
        let connector = awc::Connector::new().limit(0);
        let daemons = awc::Client::builder().connector(connector).disable_timeout().finish();
        Self { daemons, engines: HttpEngine::open() }
    }

    async fn call(&self, route: Route, number: u64, due: Instant) -> Result<Timing, String> {
        let prompt = format!("summarise order {number}");
        let expected = response_text(&prompt, WeightVersion(1), OUTPUT_TOKENS as usize);
        let call = async {
            match route {
                Route::Daemon(at) => self.through_daemon(at, prompt, due).await,
                Route::Engine(at) => self.to_engine(at, number, prompt, due).await,
            }
        };
        let ended = actix_rt::time::timeout(CALL_TIMEOUT, call).await;
        let (text, timing) = ended.map_err(|_| "no answer in time".to_owned())??;
        if text == expected { Ok(timing) } else { Err("wrong text".into()) }
    }

    async fn through_daemon(
        &self,
        at: SocketAddr,
        prompt: String,
        due: Instant,
    ) -> Result<(String, Timing), String> {
        let request = CompletionRequest {
            model: "curd".into(),
            prompt,
            max_tokens: Some(OUTPUT_TOKENS),
            stream: true,
        };
        let req = self.daemons.post(format!("http://{at}/v1/completions"));
        let req = req.insert_header(("authorization", format!("Bearer {CALLER_KEY}")));
        let mut response = req.send_json(&request).await.map_err(|e| e.to_string())?;
        if response.status() != StatusCode::OK {
            let refusal = response.json::<RefusalBody>().await.map_err(|e| e.to_string())?;
            return Err(refusal.error.code.to_string());
        }
        let mut events = eventsource_stream::EventStream::new(response);
        let mut response = TimedResponse::new(due);
        loop {
            let Some(Ok(event)) = events.next().await else {
                return Err(TRUNCATED.into());
            };
            if event.data == STREAM_END {
                return response.end();
            }
            let chunk: Completion = serde_json::from_str(&event.data).map_err(|e| e.to_string())?;
            let text: String = chunk.choices.iter().filter_map(|c| c.text.as_deref()).collect();
            if !text.is_empty() {
                response.token(&text);
            }
        }
    }

    async fn to_engine(
        &self,
        at: SocketAddr,
        number: u64,
        prompt: String,
        due: Instant,
    ) -> Result<(String, Timing), String> {
        let generate = GenerateRequest {
            call: format!("direct-{number}"),
            attempt: 1,
            model: "curd".into(),
            version: WeightVersion(1),
            prompt,
            pieces: Vec::new(),
            piece_tokens: 100,
            imports: Vec::new(),
            answered: Vec::new(),
            max_tokens: OUTPUT_TOKENS,
            priority: 1,
        };
        let stream = self.engines.generate(at, &generate, CALL_TIMEOUT).await;
        let mut stream = stream.map_err(|e| e.to_string())?;
        let mut response = TimedResponse::new(due);
        loop {
            match stream.next(CALL_TIMEOUT).await.map_err(|e| e.to_string())? {
                ResponseEvent::Token(_, token) => response.token(&token.text),
                ResponseEvent::End(..) => return response.end(),
            }
        }
    }
}

struct TimedResponse {
    due: Instant,
    text: String,
    first: Option<Duration>,
    last: Duration,
}

impl TimedResponse {
    const fn new(due: Instant) -> Self {
        Self { due, text: String::new(), first: None, last: Duration::ZERO }
    }

    fn token(&mut self, text: &str) {
        self.last = self.due.elapsed();
        self.first.get_or_insert(self.last);
        self.text.push_str(text);
    }

    fn end(self) -> Result<(String, Timing), String> {
        let first = self.first.ok_or(TRUNCATED)?;
        Ok((self.text, Timing { first, last: self.last }))
    }
}
