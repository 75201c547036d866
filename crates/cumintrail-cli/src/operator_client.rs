//! The operator's client of the platform and the daemons.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use actix_http::Method;
use cumintrail_client::{ClientError, HttpClient, HttpPlatform, VmListReader};
use cumintrail_config::{Document, Problems, Secret, SectionReader};
use cumintrail_wire::platform::ListedRole;
use serde::Serialize;
use serde::de::DeserializeOwned;

const UNSPECIFIED_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
const STATUS_OK: u16 = 200;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends an operator's requests to the platform and the daemons.
pub struct OperatorClient {
    /// The client of the platform's table, object store and VM list.
    pub platform: HttpPlatform,
    operator_key: Secret,
    /// Operator addresses of daemons, used when the VM list cannot be read.
    known_daemons: Vec<SocketAddr>,
    http: HttpClient,
}

impl OperatorClient {
    /// Reads the operator's access file: sections `[platform]` and `[operator]`.
    pub fn open(path: &Path) -> Result<Self, Problems> {
        let document = Document::open(path)?;
        let mut problems = Problems::default();
        let mut addresses = [UNSPECIFIED_ADDRESS; 3];
        let mut key = Secret::default();
        let mut known_daemons = Vec::new();
        for section in &document.sections {
            let mut reader = SectionReader::new(section, &mut problems);
            match &*section.kind {
                "platform" => {
                    addresses = ["table", "objects", "vm_list"]
                        .map(|key| reader.required(key, UNSPECIFIED_ADDRESS));
                }
                "operator" => {
                    key = reader.required("key", Secret::default());
                    known_daemons = reader.addresses("daemons");
                }
                _ => {
                    reader.reject_section(&["platform", "operator"]);
                    continue;
                }
            }
            reader.finish();
        }
        let [table, objects, vm_list] = addresses;
        let client = Self::new(table, objects, vm_list, key);
        problems.into_result(Self { known_daemons, ..client })
    }

    /// Creates a client that finds daemons by the VM list only.
    pub fn new(table: SocketAddr, objects: SocketAddr, vm_list: SocketAddr, key: Secret) -> Self {
        Self {
            platform: HttpPlatform::open(table, objects, vm_list),
            operator_key: key,
            known_daemons: Vec::new(),
            http: HttpClient::pooled(REQUEST_TIMEOUT),
        }
    }

    /// Returns the operator address and the failure domain of each daemon in the VM list, except
    /// those on VMs that are leaving.
    ///
    /// If the VM list cannot be read, returns the daemons of the access file, each with an empty
    /// failure domain, or the error if the access file lists none.
    pub async fn daemons(&self) -> Result<Vec<(SocketAddr, String)>, ClientError> {
        let list = match self.platform.vms().await {
            Ok(list) => list,
            Err(e) if self.known_daemons.is_empty() => return Err(e),
            Err(_) => {
                return Ok(self
                    .known_daemons
                    .iter()
                    .map(|address| (*address, String::new()))
                    .collect());
            }
        };
        let daemons =
            list.vms.into_iter().filter(|vm| vm.role == ListedRole::Daemon && !vm.leaving);
        Ok(daemons.map(|vm| (vm.address, vm.domain)).collect())
    }

    /// Sends JSON to a daemon's operator endpoint; any status but 200 is an error.
    pub async fn post<Q: Serialize>(
        &self,
        daemon: SocketAddr,
        path: &str,
        message: &Q,
    ) -> Result<(), ClientError> {
        let body = serde_json::to_vec(message).map_err(|_| ClientError::Malformed)?;
        let req = self.http.request(Method::POST, daemon, path);
        let authorization = format!("Bearer {}", self.operator_key.expose());
        let req = req.insert_header(("authorization", authorization));
        let response = self.http.send(req, body.into()).await?;
        match response.status() {
            STATUS_OK => Ok(()),
            status => Err(ClientError::Status { status }),
        }
    }

    /// Reads JSON from a daemon's operator endpoint.
    pub async fn get<T: DeserializeOwned>(
        &self,
        daemon: SocketAddr,
        path: &str,
    ) -> Result<T, ClientError> {
        let req = self.http.request(Method::GET, daemon, path);
        let authorization = format!("Bearer {}", self.operator_key.expose());
        let req = req.insert_header(("authorization", authorization));
        self.http.send(req, bytes::Bytes::new()).await?.json(REQUEST_TIMEOUT).await
    }
}
