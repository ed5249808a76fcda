//! The operator command's HTTP client: one request to one entry.

use std::time;

use actix_http::Method;

use crate::cli::error;
use crate::entry::view;

/// How long the entry may take beside what the caller waits for.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// The longest response that is read, in bytes.
const MAX_RESPONSE: usize = 64 * 1024 * 1024;

/// The header with an answer's digest.
const DIGEST_HEADER: &str = "hemlockcleat-sha256";

/// One entry as the command sees it.
#[derive(Clone, Debug)]
pub struct Client {
    /// Such as `http://127.0.0.1:8080`.
    pub url: String,
    /// The bearer token; none for what anybody may read.
    pub token: Option<String>,
}

/// A response with its body in memory.
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The digest header, if it is there.
    pub digest: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Client {
    /// Sends a request. `wait` is the time that the entry is asked to wait.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: time::Duration,
    ) -> Result<Response, error::Error> {
        let url = format!("{}{path}", self.url.trim_end_matches('/'));
        let client = awc::Client::builder().disable_redirects().timeout(TIMEOUT + wait).finish();
        let mut request = client.request(method, url);
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let sent = request.content_type("application/json").send_body(body).await;
        let mut response = sent.map_err(|error| self.fault(&error))?;
        let digest = response.headers().get(DIGEST_HEADER);
        let digest = digest.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let body = response.body().limit(MAX_RESPONSE).await;
        let body = body.map_err(|error| error::Error::Unanswered(error.to_string()))?;
        Ok(Response { status: response.status().as_u16(), digest, body: body.to_vec() })
    }

    /// A request whose response must be JSON of success.
    pub async fn json(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: time::Duration,
    ) -> Result<serde_json::Value, error::Error> {
        let response = self.send(method, path, body, wait).await?;
        if !(200..300).contains(&response.status) {
            return Err(refused(&response));
        }
        parse(response.status, &response.body)
    }

    /// Reads JSON.
    pub async fn get(&self, path: &str) -> Result<serde_json::Value, error::Error> {
        self.json(Method::GET, path, Vec::new(), time::Duration::ZERO).await
    }

    fn fault(&self, error: &awc::error::SendRequestError) -> error::Error {
        use awc::error::SendRequestError;
        match error {
            SendRequestError::Connect(_) | SendRequestError::Url(_) => {
                error::Error::Unreachable(self.url.clone(), error.to_string())
            }
            _ => error::Error::Unanswered(error.to_string()),
        }
    }
}

/// The error of a response that is no success.
pub fn refused(response: &Response) -> error::Error {
    match serde_json::from_slice::<view::Refusal>(&response.body) {
        Ok(refusal) => error::Error::Refused(response.status, refusal),
        Err(_) => {
            let text = String::from_utf8_lossy(&response.body);
            error::Error::Response(response.status, text.chars().take(200).collect())
        }
    }
}

/// Reads a JSON body.
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
    /// The path of a list with this as its query.
    pub fn path(&self, list: &str) -> String {
        format!("{list}?account={}&limit={}", escape(&self.account), self.limit)
    }
}

/// One part of a path, escaped.
pub fn escape(part: &str) -> String {
    percent_encoding::utf8_percent_encode(part, percent_encoding::NON_ALPHANUMERIC).to_string()
}
