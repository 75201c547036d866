//! Preloads shared material: runs its text on an engine, which then has the KV cache of the text.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::{ClientError, Engine, ObjectStore, ResponseEvent};
use cumintrail_config::{Material, Snapshot};
use cumintrail_types::{Digest, TargetKey};
use cumintrail_wire::engine::GenerateRequest;
use cumintrail_wire::peer::material_name;

use super::Background;

/// The engine runs the request after all waiting calls, whose priorities are lower numbers.
const LOWEST_PRIORITY: u8 = u8::MAX;
/// The longest wait for the engine's response head and for each of its events.
const TIMEOUT: Duration = Duration::from_secs(120);

/// Runs a material's text on a target with one output token.
pub async fn preload_prompt(background: &Background, target: TargetKey, material: usize) {
    let Some(snapshot) = background.shared.snapshot() else {
        return;
    };
    let Some(material) = snapshot.materials.get(material) else {
        return;
    };
    if let Err(e) = run_prompt(background, &snapshot, target, material).await {
        log::debug!("material {} is not loaded ahead on target {target}: {e}", material.name);
    }
}

async fn run_prompt(
    background: &Background,
    snapshot: &Arc<Snapshot>,
    target: TargetKey,
    material: &Material,
) -> Result<(), ClientError> {
    let at = background.target_address(target).ok_or(ClientError::NotSent)?;
    let model = snapshot.models.get(material.model).ok_or(ClientError::NotSent)?;
    let account = snapshot.accounts.get(material.account).ok_or(ClientError::NotSent)?;
    let prompt = read_text(background, material).await?;
    let shared = &background.shared;
    let chain = shared.key_chain(&account.name, &model.name, model.version);
    let deployment = &snapshot.deployment;
    let generate = GenerateRequest {
        call: shared.call_id(shared.next_call_key()),
        attempt: 1,
        model: model.name.to_string(),
        version: model.version,
        pieces: chain.block_keys(&prompt, deployment.block_tokens, deployment.bytes_per_token),
        piece_tokens: deployment.block_tokens.0,
        prompt,
        imports: Vec::new(),
        answered: Vec::new(),
        max_tokens: 1,
        priority: LOWEST_PRIORITY,
    };
    let mut response = background.engines.generate(at, &generate, TIMEOUT).await?;
    while !matches!(response.next(TIMEOUT).await?, ResponseEvent::End(..)) {}
    Ok(())
}

/// Reads a material's text from the object store and checks it against its digest.
async fn read_text(background: &Background, material: &Material) -> Result<String, ClientError> {
    let body = background.platform.get(&material_name(&material.digest)).await?;
    let body = body.filter(|body| Digest::of(body) == material.digest);
    let body = body.ok_or(ClientError::Malformed)?;
    String::from_utf8(body.to_vec()).map_err(|_| ClientError::Malformed)
}
