//! The callers of a run: model calls of two accounts that share prompts, and operations of the
//! plain service that must run at most once.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::Method;
use actix_rt::task::JoinHandle;
use cumintrail_wire::caller::{IDEMPOTENCY_KEY_HEADER, OperationKeyResponse};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::history::Span;
use super::observations::{ModelCall, Observations};
use crate::cluster::{CALLER_KEY, OTHER_KEY};
use crate::deployment::{RESPONSE_TIMEOUT, ask, hold};
use crate::http::send;

const KEYS: [&str; 2] = [CALLER_KEY, OTHER_KEY];
const PROMPT_BLOCKS: usize = 5;
const BLOCK_BYTES: usize = 400;
/// Probability that a call uses a new catalogue instead of one that was used before.
const NEW_PROMPT_PROBABILITY: f64 = 0.15;
const MAX_ATTEMPTS: usize = 4;
/// Delay before the next attempt after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Starts callers that run until [`Observations::stopped`] is set.
pub fn spawn(
    daemons: &[SocketAddr],
    seed: u64,
    observations: &Rc<RefCell<Observations>>,
) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for (i, at) in daemons.iter().enumerate() {
        for account in 0..KEYS.len() {
            let rng = StdRng::seed_from_u64(seed ^ (i * KEYS.len() + account + 1) as u64);
            tasks.push(actix_rt::spawn(run_model_caller(
                (i, *at),
                account,
                rng,
                observations.clone(),
            )));
        }
        let rng = StdRng::seed_from_u64(seed ^ (100 + i) as u64);
        tasks.push(actix_rt::spawn(run_operation_caller(
            daemons.to_vec(),
            i,
            rng,
            observations.clone(),
        )));
    }
    tasks
}

/// Returns a prompt whose full blocks depend only on the catalogue; the text after the last full
/// block is unique to the call.
fn prompt_of(catalogue: u64, number: u64) -> String {
    let mut text = format!("catalogue {catalogue}: ").repeat(PROMPT_BLOCKS * BLOCK_BYTES / 12 + 1);
    text.truncate(PROMPT_BLOCKS * BLOCK_BYTES);
    text + &format!(" call {number}")
}

async fn run_model_caller(
    (vm, at): (usize, SocketAddr),
    account: usize,
    mut rng: StdRng,
    observations: Rc<RefCell<Observations>>,
) {
    while !observations.borrow().stopped {
        let (catalogue, number) = {
            let mut observations = observations.borrow_mut();
            (
                observations.pick_catalogue(&mut rng, NEW_PROMPT_PROBABILITY),
                observations.next_call_number(account),
            )
        };
        let prompt = prompt_of(catalogue, number);
        let tokens = rng.random_range(3..30);
        let from = Instant::now();
        let reply = ask(at, KEYS[account], &prompt, tokens, rng.random()).await;
        let span = Span { from, to: Instant::now() };
        let call = ModelCall { number, prompt, tokens, vm, span };
        observations.borrow_mut().check_reply(&call, &reply);
        if !reply.whole {
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Requests an operation key from a daemon; returns `None` if none was issued.
async fn issue_key(at: SocketAddr) -> Option<String> {
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let got = send(Method::POST, at, "/v1/operation-keys", &headers, "", RESPONSE_TIMEOUT).await;
    if got.status != 200 {
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
    got.json::<OperationKeyResponse>().map(|issued| issued.key)
}

async fn run_operation_caller(
    daemons: Vec<SocketAddr>,
    first: usize,
    mut rng: StdRng,
    observations: Rc<RefCell<Observations>>,
) {
    for n in 0.. {
        if observations.borrow().stopped {
            return;
        }
        let operation = format!("hold-{first}-{n}");
        let key = match rng.random_range(0..10) {
            0..=3 => None,
            4..=7 => Some(operation.clone()),
            _ => match issue_key(daemons[first]).await {
                Some(key) => Some(key),
                None => continue,
            },
        };
        let header = key.as_ref().map(|key| (IDEMPOTENCY_KEY_HEADER, key.as_str()));
        let headers = header.as_slice();
        let attempts = if key.is_some() { rng.random_range(1..=MAX_ATTEMPTS) } else { 1 };
        for i in 0..attempts {
            // Counted before the call, because an attempt whose caller is aborted may still run.
            observations.borrow_mut().operations.entry(operation.clone()).or_default().begun += 1;
            let vm = (first + i) % daemons.len();
            let from = Instant::now();
            let got = hold(daemons[vm], &operation, headers).await;
            let span = Span { from, to: Instant::now() };
            let answered = got.status != 0 && got.is_complete;
            observations.borrow_mut().record_operation(&operation, &got);
            observations.borrow_mut().check_planned_stop(vm, span, got.status != 0, answered);
            match got.status {
                200 if rng.random() => break,
                200 => {}
                _ => actix_rt::time::sleep(RETRY_DELAY).await,
            }
        }
    }
}
