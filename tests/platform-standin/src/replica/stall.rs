//! Engines that hold calls before they begin them, and orders before they execute them.

use std::future::pending;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use actix_http::{Request, StatusCode};
use actix_rt::time::sleep;
use cumintrail_control::parts::name_hash;
use cumintrail_tests::http::{self, HttpResponse, header};

use super::{LoadOrder, Shared};

/// How often a call that waits checks whether the engine loads weights.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Describes how an engine holds calls and orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stall {
    /// The longest wait of a call.
    pub max_wait: Duration,
    /// The time from the receipt of an order until it is executed; `None` means that it never is.
    /// No order gets a response.
    pub order_delay: Option<Duration>,
}

/// The calls that wait at a replica.
#[derive(Debug, Default)]
pub(super) struct Queue {
    stall: Mutex<Option<Stall>>,
    waiting: AtomicU32,
}

impl Queue {
    pub(super) fn set_stall(&self, stall: Option<Stall>) {
        *self.stall.lock().unwrap_or_else(PoisonError::into_inner) = stall;
    }

    pub(super) fn stall(&self) -> Option<Stall> {
        *self.stall.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }
}

/// Counts a call as waiting until it begins, is refused or is dropped.
struct Waiting<'a>(&'a AtomicU32);

impl<'a> Waiting<'a> {
    fn enter(queue: &'a Queue) -> Self {
        queue.waiting.fetch_add(1, Ordering::Relaxed);
        Self(&queue.waiting)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    /// Waits until a call begins; returns the status of its refusal if an order concerns it before.
    ///
    /// The server drops the call, and with it this future, when the connection closes.
    pub(super) async fn wait_in_queue(
        &self,
        req: &mut Request,
        stall: Stall,
        expected: Option<u64>,
    ) -> Result<(), StatusCode> {
        let _ = http::body(req).await;
        let call = header(req, "x-request-id").unwrap_or_default();
        let share = name_hash(&format!("{call} at {}", self.spec.id)) % 1_000;
        let begins_at = Instant::now() + stall.max_wait.mul_f64(share as f64 / 1_000.0);
        let _waiting = Waiting::enter(&self.queue);
        while Instant::now() < begins_at {
            sleep(POLL_INTERVAL).await;
            if let Some(status) = self.refusal(expected) {
                return Err(status);
            }
        }
        // The server notices a closed connection only once this future is pending.
        tokio::task::yield_now().await;
        self.refusal(expected).map_or(Ok(()), Err)
    }

    /// Executes an order late or never, and sends no response.
    pub(super) async fn hold_order(
        self: Arc<Self>,
        stall: Stall,
        order: Option<LoadOrder>,
    ) -> HttpResponse {
        if let Some(delay) = stall.order_delay {
            actix_rt::spawn(async move {
                sleep(delay).await;
                self.start_load(order);
            });
        }
        pending().await
    }
}
