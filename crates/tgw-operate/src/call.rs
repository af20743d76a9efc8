use anyhow::Context;
use http_body_util::{BodyExt, Empty};
use hyper::{Method, Request, StatusCode, body::Bytes, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};

const LIMIT: Duration = Duration::from_secs(5);

/// How VMs' operators' interfaces are reached.
#[derive(Clone, Debug)]
pub struct Access {
    /// The VMs' addresses for operators.
    pub addrs: Vec<SocketAddr>,
    /// The operators' token.
    pub token: String,
}

impl Access {
    /// Reads JSON from one VM.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> anyhow::Result<T> {
        let (status, body) = call(addr, Method::GET, path, Some(&self.token)).await?;
        anyhow::ensure!(status != StatusCode::UNAUTHORIZED, "{addr}: the token is refused");
        read(addr, status, &body)
    }
}

/// Calls one VM. Errors: it cannot be reached, or gives no answer in time.
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
    tokio::time::timeout(LIMIT, exchange)
        .await
        .with_context(|| format!("{addr}: no answer within {LIMIT:?}"))?
        .with_context(|| format!("{addr}: cannot be reached"))
}

/// Reads the JSON of an answer. Errors: it is no success, or cannot be read.
pub(crate) fn read<T: DeserializeOwned>(
    addr: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> anyhow::Result<T> {
    anyhow::ensure!(status.is_success(), "{addr}: status {status}");
    serde_json::from_slice(body).with_context(|| format!("{addr}: unreadable answer"))
}
