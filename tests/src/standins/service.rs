//! A plain service that counts every execution.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{self, HttpResponse, HttpServer, empty, json};

/// Switches failures of a service.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Waits before it runs a call, in milliseconds.
    pub slow_ms: u64,
    /// Runs calls and never answers.
    pub lose_answers: bool,
    /// Takes no new work, as its report says.
    pub leaving: bool,
}

#[derive(Default)]
struct State {
    executions: BTreeMap<String, u64>,
    fault: Fault,
}

/// Runs a service.
#[derive(Clone)]
pub struct Service {
    /// Its server.
    pub server: HttpServer,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Starts a service that has run nothing.
    pub fn spawn(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let for_server = state.clone();
        let incarnation = rand::random();
        let server = http::serve(address, move |req| handle(for_server.clone(), incarnation, req))?;
        Ok(Self { server, state })
    }

    /// Returns where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Switches some failures and leaves the others as they are.
    pub fn change_fault(&self, change: impl FnOnce(&mut Fault)) {
        change(&mut self.state.lock().expect("no holder panics").fault);
    }

    /// Switches failures.
    pub fn set_fault(&self, fault: Fault) {
        self.state.lock().expect("no holder panics").fault = fault;
    }

    /// Returns how often each operation ran, by the text of its body.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.state.lock().expect("no holder panics").executions.clone()
    }
}

async fn handle(state: Arc<Mutex<State>>, incarnation: u64, mut req: Request) -> HttpResponse {
    let path = req.path().to_owned();
    let fault = state.lock().expect("no holder panics").fault;
    match (req.method().clone(), path.as_str()) {
        (Method::POST, "/fault") => {
            let fault = http::read(&mut req).await.unwrap_or_default();
            state.lock().expect("no holder panics").fault = fault;
            empty(StatusCode::OK)
        }
        (Method::GET, "/v1/report") => json(
            StatusCode::OK,
            &cumintrail_wire::engine::Report {
                incarnation: cumintrail_types::Incarnation(incarnation),
                leaving: fault.leaving,
                version: cumintrail_types::WeightVersion(0),
                loading: false,
                running: 0,
                waiting: 0,
                prefill_backlog: 0,
            },
        ),
        (Method::GET, "/executions") => {
            let executions = state.lock().expect("no holder panics").executions.clone();
            json(StatusCode::OK, &executions)
        }
        (Method::GET, "/headers") => {
            let headers = req.head().headers().iter();
            let text = headers.map(|(n, v)| (n.to_string(), v.to_str().unwrap_or_default()));
            json(StatusCode::OK, &text.collect::<BTreeMap<_, _>>())
        }
        (Method::GET, _) => json(StatusCode::OK, &path),
        (_, _) => {
            let body = http::body(&mut req).await;
            actix_rt::time::sleep(Duration::from_millis(fault.slow_ms)).await;
            let operation = String::from_utf8_lossy(&body).into_owned();
            let count = {
                let mut state = state.lock().expect("no holder panics");
                let count = state.executions.entry(operation.clone()).or_default();
                *count += 1;
                *count
            };
            if fault.lose_answers {
                actix_rt::time::sleep(Duration::from_secs(3_600)).await;
            }
            json(StatusCode::OK, &serde_json::json!({ "operation": operation, "execution": count }))
        }
    }
}
