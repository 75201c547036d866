//! A plain service that counts the executions of each operation.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{self, HttpResponse, HttpServer, empty, json};

/// Injected faults of a service.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Delay before a call is executed, in milliseconds.
    pub slow_ms: u64,
    /// Executes calls and sends no response.
    pub lose_answers: bool,
    /// Reports that the service is leaving; calls are still executed.
    pub leaving: bool,
}

#[derive(Default)]
struct State {
    executions: BTreeMap<String, u64>,
    fault: Fault,
}

/// A running service.
#[derive(Clone)]
pub struct Service {
    /// The HTTP server.
    pub server: HttpServer,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Starts a service without recorded executions.
    pub fn spawn(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let for_server = state.clone();
        let incarnation = rand::random();
        let server = http::serve(address, move |req| handle(for_server.clone(), incarnation, req))?;
        Ok(Self { server, state })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Changes some faults and keeps the others.
    pub fn change_fault(&self, change: impl FnOnce(&mut Fault)) {
        change(&mut self.state.lock().expect("mutex is not poisoned").fault);
    }

    /// Replaces all faults.
    pub fn set_fault(&self, fault: Fault) {
        self.state.lock().expect("mutex is not poisoned").fault = fault;
    }

    /// Returns the number of executions of each operation, by the text of its body.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.state.lock().expect("mutex is not poisoned").executions.clone()
    }
}

async fn handle(state: Arc<Mutex<State>>, incarnation: u64, mut req: Request) -> HttpResponse {
    let path = req.path().to_owned();
    let fault = state.lock().expect("mutex is not poisoned").fault;
    match (req.method().clone(), path.as_str()) {
        (Method::POST, "/fault") => {
            let fault = http::read(&mut req).await.unwrap_or_default();
            state.lock().expect("mutex is not poisoned").fault = fault;
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
            let executions = state.lock().expect("mutex is not poisoned").executions.clone();
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
                let mut state = state.lock().expect("mutex is not poisoned");
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
