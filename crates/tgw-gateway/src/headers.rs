use crate::codec;
use derive_more::Deref;
use http::{HeaderMap, HeaderName, Uri, header, uri::Authority};

/// Hop-by-hop headers, which are never forwarded.
const HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// The headers of a request that a caller addresses to upstreams: end-to-end ones, and none of those that this product
/// sets. These are added when a message is built, so that nothing that a caller sends removes or changes them.
#[derive(Clone, Debug, Deref)]
pub(crate) struct EndToEnd(HeaderMap);

impl EndToEnd {
    /// Reduces the headers of a caller's request, or of one that another VM passes on.
    pub(crate) fn reduce(mut headers: HeaderMap, names: &codec::Headers) -> Self {
        strip(&mut headers);
        for name in names.all() {
            headers.remove(name);
        }
        Self(headers)
    }
}

/// Removes hop-by-hop headers and those that describe the framing, which hyper sets anew.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        // Each request needs one, whatever the sender names.
        .filter(|name| name != header::HOST)
        .collect();
    for name in named.iter().chain(&HOP) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
}

/// What makes a request's headers ambiguous; `None` if nothing does. Another reader could take such a request for one to
/// another host (RFC 9112, section 3.2), or for another request.
pub(crate) fn ambiguity(headers: &HeaderMap, names: &codec::Headers) -> Option<&'static str> {
    let is_repeated = |name: &HeaderName| headers.get_all(name).iter().nth(1).is_some();
    if is_repeated(&header::HOST) {
        return Some("several hosts");
    }
    is_repeated(&names.request_id).then_some("several identities")
}

/// The host named by a request.
pub(crate) fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> Option<&'a str> {
    let named = || headers.get(header::HOST)?.to_str().ok();
    uri.authority().map(Authority::as_str).or_else(named)
}

/// The idle timeout in whole seconds that the other side states in its `keep-alive` header.
pub(crate) fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse().ok())
}
