use settings::DeploymentSettings;

use super::OwnAddresses;

fn own_addresses(callers: &str) -> OwnAddresses {
    let text = format!(
        "[node]\nname = g1\nregion = north\nhall = a\nhalls = a=north\naddress = 10.1.0.4\nfirst_port = 7700\n\
         last_port = 7715\n[gateway]\ncallers = {callers}\nreadiness = 10.1.0.4:8002\n\
         [store]\naddress = 10.9.0.1:8007\nwrites_per_s = 400\nreads_per_s = 2000\n\
         [bounds]\ngrace_s = 8\ncontact_ms = 3000\ndrain_ms = 2000\nconfiguration_ms = 2000\nversion_ms = 8000\n\
         repeat_ratio = 0.2\nrepeat_window_s = 10\nrepeat_allowance = 106\n"
    );
    OwnAddresses::new(&DeploymentSettings::parse(&text).unwrap())
}

#[test]
fn only_the_addresses_on_which_the_gateway_listens_are_its_own() {
    let own = own_addresses("10.1.0.4:8005");
    let listening = [
        "10.1.0.4:8005",
        "[::ffff:10.1.0.4]:8005",
        "10.1.0.4:8002",
        "10.1.0.4:7700",
        "10.1.0.4:7715",
    ];
    for address in listening {
        assert!(own.contains(address.parse().unwrap()), "{address}");
    }
    for address in ["10.1.0.4:8001", "10.1.0.4:7701", "10.1.0.5:8005", "127.0.0.1:8005"] {
        assert!(!own.contains(address.parse().unwrap()), "{address}");
    }
}

#[test]
fn a_gateway_that_listens_on_all_addresses_is_reached_at_each_of_its_machine() {
    let own = own_addresses("0.0.0.0:8005");
    for address in ["10.1.0.4:8005", "127.0.0.1:8005"] {
        assert!(own.contains(address.parse().unwrap()), "{address}");
    }
    assert!(!own.contains("10.1.0.5:8005".parse().unwrap()));
}
