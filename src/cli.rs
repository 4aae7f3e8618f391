//! The arguments of the client.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use argh::FromArgs;
use fleet::{InstanceId, ModelName, PlanId, Role, VersionId};

/// Declare what should run where, look at the plan, and put it in force.
#[derive(FromArgs)]
pub struct Cli {
    /// address of an entry's operators' door, such as 127.0.0.1:7402; without it, the
    /// environment variable SILVERDOCK_ENTRY
    #[argh(option)]
    pub entry: Option<SocketAddr>,
    /// file with the operator token; without it, the environment variable SILVERDOCK_TOKEN_FILE
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// answer in JSON
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// The commands.
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

/// Put together what logs say of one request, oldest first, with its cause.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the id that the caller gave the request
    #[argh(positional)]
    pub request: String,
    /// logs of gateways and sidecars
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Show where the time of requests goes: each step by how the requests ended.
#[derive(FromArgs)]
#[argh(subcommand, name = "profile")]
pub struct Profile {
    /// logs of gateways and sidecars
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Declare an intent and get a plan; nothing changes before it is confirmed.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    /// what is intended
    #[argh(subcommand)]
    pub intent: IntentArgs,
}

/// The intents.
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

/// A model or adapter runs in a version on a number of instances.
#[derive(FromArgs)]
#[argh(subcommand, name = "deploy")]
pub struct Deploy {
    /// the name callers use
    #[argh(positional, from_str_fn(parse_model))]
    pub model: ModelName,
    /// the version, as `publish` printed it
    #[argh(positional)]
    pub version: VersionId,
    /// how many replicas to run
    #[argh(option)]
    pub replicas: u32,
    /// serve, prefill or decode (default serve)
    #[argh(option, default = "RoleArg(Role::Serve)")]
    pub role: RoleArg,
    /// a hall where replicas may stand; may be given more than once (default everywhere)
    #[argh(option)]
    pub hall: Vec<String>,
    /// the model that this adapter belongs to
    #[argh(option, from_str_fn(parse_model))]
    pub adapter_of: Option<ModelName>,
    /// spreads of a higher priority draw first (default 1)
    #[argh(option, default = "1")]
    pub priority: u8,
}

/// A model goes back to the version it had before.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct Rollback {
    /// the name callers use
    #[argh(positional, from_str_fn(parse_model))]
    pub model: ModelName,
}

/// A model stops being served.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct Remove {
    /// the name callers use
    #[argh(positional, from_str_fn(parse_model))]
    pub model: ModelName,
}

/// An upstream finishes what it has and takes no new work.
#[derive(FromArgs)]
#[argh(subcommand, name = "leave")]
pub struct Leave {
    /// the instance that leaves
    #[argh(positional, from_str_fn(parse_instance))]
    pub instance: InstanceId,
}

/// An upstream that was told to leave takes work again.
#[derive(FromArgs)]
#[argh(subcommand, name = "return")]
pub struct Return {
    /// the instance that returns
    #[argh(positional, from_str_fn(parse_instance))]
    pub instance: InstanceId,
}

/// Put a plan in force. Confirming the same plan again is safe and settles an unknown outcome.
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

/// Follow a rollout until every replica is live: a bar on a terminal, JSON lines otherwise.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// the name callers use
    #[argh(positional, from_str_fn(parse_model))]
    pub model: ModelName,
    /// give up after this many seconds (default 3600)
    #[argh(option, default = "3600")]
    pub timeout: u64,
}

/// Hand a file of weights to the platform and print its version.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// the file
    #[argh(positional)]
    pub file: PathBuf,
    /// what people call it (default the file's name)
    #[argh(option)]
    pub label: Option<String>,
    /// address of the platform's origin of weights
    #[argh(option)]
    pub weights: SocketAddr,
    /// address of the platform's object store
    #[argh(option)]
    pub objects: SocketAddr,
}

/// Check a daemon's settings file and report every fault in it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Print the version of this program.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub struct Version {}

/// A role as it is written on the command line.
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

/// Names stand in paths, so they hold no character that means something there.
fn parse_name(text: &str) -> Result<String, String> {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if text.is_empty() || !text.chars().all(fits) {
        return Err("expected letters, digits, '-', '_' and '.'".to_owned());
    }
    Ok(text.to_owned())
}
