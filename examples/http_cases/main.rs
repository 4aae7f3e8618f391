//! Puts the same bytes before two HTTP libraries, on the server's side and on the client's, and
//! prints what each makes of them. The reason for the choice on the users' platform.
//!
//!     cargo run --release --example http_cases

mod async_h1_side;
mod cases;
mod hyper_side;

use cases::{ClientCase, ServerCase, CLIENT_CASES, SERVER_CASES};

fn main() {
    println!("| side | case | what is right | async-h1 | hyper |");
    println!("| --- | --- | --- | --- | --- |");
    for ServerCase { name, right, bytes } in SERVER_CASES {
        let bytes = bytes();
        let one = cases::at_server(&bytes, async_h1_side::serve);
        let other = cases::at_server(&bytes, hyper_side::serve);
        println!("| server | {name} | {right} | {one} | {other} |");
    }
    for ClientCase { name, right, script } in CLIENT_CASES {
        let one = cases::at_client(script, async_h1_side::call);
        let other = cases::at_client(script, hyper_side::call);
        println!("| client | {name} | {right} | {one} | {other} |");
    }
}
