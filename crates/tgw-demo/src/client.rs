use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client as HttpClient, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::{net::SocketAddr, time::Duration};

/// HTTP client of callers and operators.
#[derive(Clone)]
pub struct Client(HttpClient<HttpConnector, Full<Bytes>>);

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self(HttpClient::builder(TokioExecutor::new()).build(connector))
    }
}

impl Client {
    /// Sends one request, with headers as name-value pairs. Fails if no complete response is received
    /// within `time_limit`.
    pub async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        time_limit: Duration,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let mut builder = Request::builder().method(method).uri(format!("http://{addr}{path}"));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(body))?;
        let exchange = async {
            let response = self.0.request(request).await?;
            let status = response.status();
            let bytes = response.into_body().collect().await?.to_bytes();
            anyhow::Ok((status, bytes))
        };
        tokio::time::timeout(time_limit, exchange).await.context("no response in time")?
    }
}
