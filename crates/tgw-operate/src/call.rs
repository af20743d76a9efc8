use anyhow::Context;
use http_body_util::{BodyExt, Empty};
use hyper::{Method, Request, StatusCode, body::Bytes, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};

/// Limit for one call, from connecting to the last byte of the response.
const CALL_TIMEOUT_S: Duration = Duration::from_secs(5);

/// Addresses and token of the operator APIs of VMs.
#[derive(Clone, Debug)]
pub struct Access {
    /// Operator API address of each VM.
    pub addrs: Vec<SocketAddr>,
    /// Bearer token for the operator APIs.
    pub token: String,
}

impl Access {
    /// Fetches `path` from one VM and decodes the JSON body.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> anyhow::Result<T> {
        let (status, body) = call(addr, Method::GET, path, Some(&self.token)).await?;
        anyhow::ensure!(status != StatusCode::UNAUTHORIZED, "{addr}: token rejected");
        decode(addr, status, &body)
    }
}

/// Sends one request to a VM. Errors: the exchange fails, or exceeds the timeout.
pub(crate) async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let client: Client<HttpConnector, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder().method(method).uri(format!("http://{addr}{path}"));
    if let Some(token) = token {
        request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let request = request.body(Empty::new())?;
    let exchange = async {
        let response = client.request(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        anyhow::Ok((status, body))
    };
    tokio::time::timeout(CALL_TIMEOUT_S, exchange)
        .await
        .with_context(|| format!("{addr}: no response within {CALL_TIMEOUT_S:?}"))?
        .with_context(|| format!("{addr}: request failed"))
}

/// Decodes the JSON body of a response. Errors: the status is not a success, or the body cannot be decoded.
pub(crate) fn decode<T: DeserializeOwned>(
    addr: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> anyhow::Result<T> {
    anyhow::ensure!(status.is_success(), "{addr}: unexpected status {status}");
    serde_json::from_slice(body).with_context(|| format!("{addr}: cannot decode response"))
}
