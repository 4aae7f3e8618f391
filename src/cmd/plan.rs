//! `silverdock plan`: declares an intent and shows the plan.

use async_io::block_on;
use errors::Result;
use fleet::{Hall, Intent};

use crate::cli::{Cli, IntentArgs, Plan};
use crate::{cmd, messages};

/// Runs the command.
pub fn run(cli: &Cli, args: &Plan) -> Result<()> {
    let intent = to_intent(&args.intent);
    let plan = block_on(cmd::operator_client(cli)?.plan(&intent))?;
    messages::print_value(cli.json, &plan, messages::format_plan);
    Ok(())
}

fn to_intent(args: &IntentArgs) -> Intent {
    match args {
        IntentArgs::Deploy(args) => Intent::Deploy {
            model: args.model.clone(),
            version: args.version,
            replicas: args.replicas,
            role: args.role.0,
            halls: args.hall.iter().cloned().map(Hall).collect(),
            adapter_of: args.adapter_of.clone(),
            priority: args.priority,
        },
        IntentArgs::Rollback(args) => Intent::Rollback { model: args.model.clone() },
        IntentArgs::Remove(args) => Intent::Remove { model: args.model.clone() },
        IntentArgs::Leave(args) => Intent::Leave { instance: args.instance.clone() },
        IntentArgs::Return(args) => Intent::Return { instance: args.instance.clone() },
    }
}
