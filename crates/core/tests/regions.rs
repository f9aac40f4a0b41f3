//! Home regions of routes and workspaces.

use poplar_core::id::Name;
use poplar_core::regions::{Home, Regions};

fn names(texts: &[&str]) -> Vec<Name> {
    texts.iter().map(|text| Name::from(*text)).collect()
}

fn regions() -> Regions {
    let centres = [("a", "north"), ("b", "south"), ("c", "east")];
    let centres = centres.map(|(centre, region)| (centre.into(), region.into()));
    Regions {
        own: Some("north".into()),
        centres: centres.into_iter().collect(),
    }
}

/// The data centres that a request of such a route and workspace may reach.
fn allowed(route: &[&str], workspace: &[&str]) -> Vec<&'static str> {
    let (route, workspace) = (names(route), names(workspace));
    let home = Home {
        route: &route,
        workspace: &workspace,
    };
    let centres = ["a", "b", "c", "unknown"].into_iter();
    centres
        .filter(|centre| home.allows_centre(&regions(), centre))
        .collect()
}

/// Guards against requests that leave their home regions, or are confined without one.
#[test]
fn requests_reach_centres_of_their_home_regions_only() {
    assert_eq!(allowed(&[], &[]), ["a", "b", "c", "unknown"]);
    assert_eq!(allowed(&["south"], &[]), ["b"]);
    assert_eq!(allowed(&[], &["south", "east"]), ["b", "c"]);
    assert_eq!(allowed(&["north", "south"], &["south", "east"]), ["b"]);
    assert_eq!(allowed(&["north"], &["south"]), [""; 0]);
    assert_eq!(allowed(&["nowhere"], &[]), [""; 0]);
}

/// Guards against bodies that are sent to routers of a region that is neither a home
/// region nor the client's.
#[test]
fn bodies_reach_routers_of_home_regions_and_of_the_clients_region_only() {
    let (route, workspace) = (names(&["south", "east"]), names(&["east", "west"]));
    let home = Home {
        route: &route,
        workspace: &workspace,
    };
    let north = Name::from("north");
    let routers = home.router_regions(Some(&north));
    assert_eq!(routers, Some(names(&["east", "north"])));
    assert_eq!(home.router_regions(None), Some(names(&["east"])));
    assert_eq!(Home::default().router_regions(Some(&north)), None);
}
