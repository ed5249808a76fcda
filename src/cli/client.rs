//! HTTP client of the operator command, which sends requests to one entry.

use std::time;

use actix_http::Method;

use crate::cli::error;
use crate::entry::view;

/// Timeout of a response, in addition to the time that the entry is asked to wait.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Size limit of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Header with the SHA-256 digest of an answer, in hexadecimal.
const DIGEST_HEADER: &str = "hemlockcleat-sha256";

/// Client of one entry.
#[derive(Clone, Debug)]
pub struct Client {
    /// The entry's URL, such as `http://127.0.0.1:8080`.
    pub url: String,
    /// The bearer token; none for requests that need no authorization.
    pub token: Option<String>,
}

/// A response with its body in memory.
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The value of the digest header, if present.
    pub digest: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Client {
    /// Sends a request and reads the response. `wait` is the time that the request asks the entry
    /// to wait, and extends the timeout.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: time::Duration,
    ) -> Result<Response, error::Error> {
        let url = format!("{}{path}", self.url.trim_end_matches('/'));
        let client =
            awc::Client::builder().disable_redirects().timeout(RESPONSE_TIMEOUT + wait).finish();
        let mut request = client.request(method, url);
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let sent = request.content_type("application/json").send_body(body).await;
        let mut response = sent.map_err(|error| self.send_error(&error))?;
        let digest = response.headers().get(DIGEST_HEADER);
        let digest = digest.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| error::Error::Unanswered(error.to_string()))?;
        Ok(Response { status: response.status().as_u16(), digest, body: body.to_vec() })
    }

    /// Sends a request and parses the JSON of a successful response; any other status is an error.
    pub async fn json(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: time::Duration,
    ) -> Result<serde_json::Value, error::Error> {
        let response = self.send(method, path, body, wait).await?;
        if !(200..300).contains(&response.status) {
            return Err(refusal_error(&response));
        }
        parse(response.status, &response.body)
    }

    /// Sends a GET request and parses the JSON of a successful response.
    pub async fn get(&self, path: &str) -> Result<serde_json::Value, error::Error> {
        self.json(Method::GET, path, Vec::new(), time::Duration::ZERO).await
    }

    fn send_error(&self, error: &awc::error::SendRequestError) -> error::Error {
        use awc::error::SendRequestError;
        match error {
            SendRequestError::Connect(_) | SendRequestError::Url(_) => {
                error::Error::Unreachable(self.url.clone(), error.to_string())
            }
            _ => error::Error::Unanswered(error.to_string()),
        }
    }
}

/// Converts an unsuccessful response to an error.
pub fn refusal_error(response: &Response) -> error::Error {
    match serde_json::from_slice::<view::Refusal>(&response.body) {
        Ok(refusal) => error::Error::Refused(response.status, refusal),
        Err(_) => {
            let text = String::from_utf8_lossy(&response.body);
            error::Error::Response(response.status, text.chars().take(200).collect())
        }
    }
}

/// Parses the JSON body of a response with the given status.
pub fn parse<T: serde::de::DeserializeOwned>(status: u16, body: &[u8]) -> Result<T, error::Error> {
    serde_json::from_slice(body).map_err(|error| error::Error::Response(status, error.to_string()))
}

/// Which objects of a list are wanted.
#[derive(Debug, clap::Args)]
pub struct Filter {
    /// Only this client account's
    #[arg(long, default_value = "")]
    account: String,
    /// At most so many
    #[arg(long, default_value_t = 100)]
    limit: u32,
}

impl Filter {
    /// The path of a list, with the filter as its query.
    pub fn path(&self, list: &str) -> String {
        format!("{list}?account={}&limit={}", escape(&self.account), self.limit)
    }
}

/// Percent-encodes a path segment or a query value.
pub fn escape(part: &str) -> String {
    percent_encoding::utf8_percent_encode(part, percent_encoding::NON_ALPHANUMERIC).to_string()
}
