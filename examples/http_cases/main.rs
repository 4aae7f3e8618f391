//! Sends the same bytes to two HTTP libraries, to their servers and to their clients, and prints how each
//! handles them. The results are the reason for the choice of the library on the users' platform.
//!
//!     cargo run --release --example http_cases

mod async_h1_side;
mod cases;
mod hyper_side;

use cases::{ClientCase, ServerCase, CLIENT_CASES, SERVER_CASES};

fn main() {
    println!("| side | case | what is right | async-h1 | hyper |");
    println!("| --- | --- | --- | --- | --- |");
    for ServerCase { name, expected, bytes } in SERVER_CASES {
        let bytes = bytes();
        let async_h1_result = cases::run_server_case(&bytes, async_h1_side::serve);
        let hyper_result = cases::run_server_case(&bytes, hyper_side::serve);
        println!("| server | {name} | {expected} | {async_h1_result} | {hyper_result} |");
    }
    for ClientCase { name, expected, script } in CLIENT_CASES {
        let async_h1_result = cases::run_client_case(script, async_h1_side::call);
        let hyper_result = cases::run_client_case(script, hyper_side::call);
        println!("| client | {name} | {expected} | {async_h1_result} | {hyper_result} |");
    }
}
