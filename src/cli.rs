//! Command-line arguments of the client.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use argh::FromArgs;
use fleet::{InstanceId, ModelName, PlanId, Role, VersionId};

/// Plan and confirm changes to a silverdock fleet, and inspect its state.
#[derive(FromArgs)]
pub struct Cli {
    /// address of an entry's operator API, such as 127.0.0.1:7402 (default: the environment variable
    /// SILVERDOCK_ENTRY)
    #[argh(option)]
    pub entry: Option<SocketAddr>,
    /// file with the operator token (default: the environment variable SILVERDOCK_TOKEN_FILE)
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print the output as JSON
    #[argh(switch)]
    pub json: bool,
    /// the command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The subcommands of the client.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// `plan`
    Plan(Plan),
    /// `confirm`
    Confirm(Confirm),
    /// `status`
    Status(Status),
    /// `watch`
    Watch(Watch),
    /// `publish`
    Publish(Publish),
    /// `check`
    Check(Check),
    /// `explain`
    Explain(Explain),
    /// `profile`
    Profile(Profile),
    /// `version`
    Version(Version),
}

/// Collect the log lines about one request, oldest first, and show the cause of its outcome.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the request id that the caller assigned
    #[argh(positional)]
    pub request: String,
    /// log files of gateways and sidecars
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Show how much time requests spend in each step, by outcome of the requests.
#[derive(FromArgs)]
#[argh(subcommand, name = "profile")]
pub struct Profile {
    /// log files of gateways and sidecars
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Declare an intent and print the plan for it. Nothing changes until the plan is confirmed.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    /// the intent
    #[argh(subcommand)]
    pub intent: IntentArgs,
}

/// The subcommands of `plan`, one for each intent.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum IntentArgs {
    /// `plan deploy`
    Deploy(Deploy),
    /// `plan rollback`
    Rollback(Rollback),
    /// `plan remove`
    Remove(Remove),
    /// `plan leave`
    Leave(Leave),
    /// `plan return`
    Return(Return),
}

/// Run a version of a model or adapter on a number of instances.
#[derive(FromArgs)]
#[argh(subcommand, name = "deploy")]
pub struct Deploy {
    /// the model name that callers use
    #[argh(positional, from_str_fn(parse_model))]
    pub model: ModelName,
    /// the version, as printed by `publish`
    #[argh(positional)]
    pub version: VersionId,
    /// the number of replicas
    #[argh(option)]
    pub replicas: u32,
    /// serve, prefill or decode (default serve)
    #[argh(option, default = "RoleArg(Role::Serve)")]
    pub role: RoleArg,
    /// a data hall in which replicas may run; can be repeated (default: all halls)
    #[argh(option)]
    pub hall: Vec<String>,
    /// the model that this adapter belongs to
    #[argh(option, from_str_fn(parse_model))]
    pub adapter_of: Option<ModelName>,
    /// versions with a higher priority are distributed first (default 1)
    #[argh(option, default = "1")]
    pub priority: u8,
}

/// Return a model to its previous version.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct Rollback {
    /// the model name that callers use
    #[argh(positional, from_str_fn(parse_model))]
    pub model: ModelName,
}

/// Stop serving a model.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct Remove {
    /// the model name that callers use
    #[argh(positional, from_str_fn(parse_model))]
    pub model: ModelName,
}

/// Drain an upstream: it completes its current requests and accepts no new ones.
#[derive(FromArgs)]
#[argh(subcommand, name = "leave")]
pub struct Leave {
    /// the instance that leaves
    #[argh(positional, from_str_fn(parse_instance))]
    pub instance: InstanceId,
}

/// Let an upstream that is leaving accept requests again.
#[derive(FromArgs)]
#[argh(subcommand, name = "return")]
pub struct Return {
    /// the instance that returns
    #[argh(positional, from_str_fn(parse_instance))]
    pub instance: InstanceId,
}

/// Put a plan in force. It is safe to confirm the same plan again, for example after an unknown outcome.
#[derive(FromArgs)]
#[argh(subcommand, name = "confirm")]
pub struct Confirm {
    /// the plan's id
    #[argh(positional, from_str_fn(parse_plan))]
    pub plan: PlanId,
}

/// Show the fleet as an entry sees it.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Follow a rollout until every replica is live. Prints a progress bar on a terminal, and JSON lines otherwise.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// the model name that callers use
    #[argh(positional, from_str_fn(parse_model))]
    pub model: ModelName,
    /// give up after this many seconds (default 3600)
    #[argh(option, default = "3600")]
    pub timeout: u64,
}

/// Publish a weights file to the platform and print its version.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// the weights file
    #[argh(positional)]
    pub file: PathBuf,
    /// a human-readable label (default: the file name)
    #[argh(option)]
    pub label: Option<String>,
    /// address of the platform's origin of weights
    #[argh(option)]
    pub weights: SocketAddr,
    /// address of the platform's object store
    #[argh(option)]
    pub objects: SocketAddr,
}

/// Check a daemon's settings file and report all faults in it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the settings file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Print the version of this program.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub struct Version {}

/// A role argument on the command line.
pub struct RoleArg(pub Role);

impl FromStr for RoleArg {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "serve" => Ok(Self(Role::Serve)),
            "prefill" => Ok(Self(Role::Prefill)),
            "decode" => Ok(Self(Role::Decode)),
            _ => Err("expected serve, prefill or decode".to_owned()),
        }
    }
}

fn parse_model(text: &str) -> Result<ModelName, String> {
    parse_name(text).map(ModelName)
}

fn parse_instance(text: &str) -> Result<InstanceId, String> {
    parse_name(text).map(InstanceId)
}

fn parse_plan(text: &str) -> Result<PlanId, String> {
    parse_name(text).map(PlanId)
}

/// Parses a name. Names are used in URL paths, so they must not contain characters that are special there.
fn parse_name(text: &str) -> Result<String, String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if text.is_empty() || !text.chars().all(is_allowed) {
        return Err("expected letters, digits, '-', '_' and '.'".to_owned());
    }
    Ok(text.to_owned())
}
