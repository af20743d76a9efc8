use crate::{
    object::{Error, List, MAX_VALUE_BYTES, Object, Version},
    store::{Precondition, Store, StoreFuture},
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, body::Bytes};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};
use tgw_clock::Millis;

/// Largest reply body that is accepted. A list may hold many objects, hence a multiple of the largest value.
const MAX_REPLY_BYTES: usize = 64 * MAX_VALUE_BYTES;

/// Client of the platform's object API over HTTP and JSON.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
    addr: SocketAddr,
    timeout: Millis,
}

/// The body of the reply to a write.
#[derive(Deserialize)]
struct WriteReply {
    version: Version,
}

impl Http {
    /// Creates a client of the platform at `addr` with a timeout for each call. Connects on first use.
    pub fn new(addr: SocketAddr, timeout: Millis) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client, addr, timeout }
    }

    async fn call(
        &self,
        method: Method,
        path: String,
        body: Option<&Value>,
        wait: Millis,
    ) -> Result<(StatusCode, Bytes), Error> {
        let bytes = body.map(|v| Bytes::from(v.to_string())).unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .body(Full::new(bytes))
            .map_err(|e| unavailable(&e))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|e| {
                // If connecting failed, no request was sent. After any later error it may have been.
                if e.is_connect() { unavailable(&e) } else { unknown(&e) }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_REPLY_BYTES);
            let bytes = body.collect().await.map_err(|e| unknown(&e))?.to_bytes();
            Ok((status, bytes))
        };
        let limit: Duration = (self.timeout + wait).into();
        match tokio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::Unknown { reason: format!("no reply in {}", self.timeout) }),
        }
    }
}

/// The error of a call that the platform refused or that did not reach it: nothing was written.
fn unavailable(error: &dyn std::fmt::Display) -> Error {
    Error::Unavailable { reason: error.to_string() }
}

/// The error of a call that may have been sent and has no valid reply: a write may have taken effect.
fn unknown(error: &dyn std::fmt::Display) -> Error {
    Error::Unknown { reason: error.to_string() }
}

fn decode<T: DeserializeOwned>((status, bytes): (StatusCode, Bytes)) -> Result<T, Error> {
    match status {
        StatusCode::OK => serde_json::from_slice(&bytes).map_err(|e| unknown(&e)),
        StatusCode::CONFLICT => {
            let current = serde_json::from_slice::<WriteReply>(&bytes).map_or(0, |w| w.version);
            Err(Error::Conflict { current })
        }
        StatusCode::GONE => Err(Error::Gone),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Err(unavailable(&String::from_utf8_lossy(&bytes)))
        }
        other => Err(Error::Unknown { reason: format!("status {other}") }),
    }
}

impl Store for Http {
    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> StoreFuture<'a, Option<Object>> {
        Box::pin(async move {
            let path = format!("/objects/{kind}/{name}");
            let reply = self.call(Method::GET, path, None, Millis::ZERO).await?;
            if reply.0 == StatusCode::NOT_FOUND { Ok(None) } else { decode(reply).map(Some) }
        })
    }

    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        precondition: Precondition,
        value: &'a Value,
    ) -> StoreFuture<'a, Version> {
        Box::pin(async move {
            let expected = match precondition {
                Precondition::Absent => 0,
                Precondition::Version(version) => version,
            };
            let path = format!("/objects/{kind}/{name}?if={expected}");
            let reply = self.call(Method::PUT, path, Some(value), Millis::ZERO).await?;
            decode::<WriteReply>(reply).map(|w| w.version)
        })
    }

    fn delete<'a>(&'a self, kind: &'a str, name: &'a str, version: Version) -> StoreFuture<'a, ()> {
        Box::pin(async move {
            let path = format!("/objects/{kind}/{name}?if={version}");
            let reply = self.call(Method::DELETE, path, None, Millis::ZERO).await?;
            decode::<WriteReply>(reply).map(|_| ())
        })
    }

    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, List> {
        Box::pin(async move {
            decode(self.call(Method::GET, format!("/objects/{kind}"), None, Millis::ZERO).await?)
        })
    }

    fn watch<'a>(&'a self, kind: &'a str, from: Version, wait: Millis) -> StoreFuture<'a, List> {
        Box::pin(async move {
            let path = format!("/watch/{kind}?from={from}&wait_ms={}", wait.as_whole_ms());
            decode(self.call(Method::GET, path, None, wait).await?)
        })
    }
}
