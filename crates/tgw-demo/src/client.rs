use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::{net::SocketAddr, time::Duration};

/// Calls as a caller or an operator makes them.
#[derive(Clone)]
pub struct Client(Pool<HttpConnector, Full<Bytes>>);

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self(Pool::builder(TokioExecutor::new()).build(connector))
    }
}

impl Client {
    /// One call; headers as pairs. Errors: no whole response within `limit`.
    pub async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        limit: Duration,
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
        tokio::time::timeout(limit, exchange).await.context("no response in time")?
    }
}
