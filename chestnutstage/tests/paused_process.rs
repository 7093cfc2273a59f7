//! A process that is paused while the configuration changes must not act on the old one when it resumes.

mod common;

use std::process::{Child, Command};

use chestnutstage_config::fleet::Change;
use chestnutstage_fakes::world::MODEL;
use common::{Deployment, KEY, NORTH, wait_until};
use serde_json::{Value, json};

/// Child process that is killed on drop, also if the test panics.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.0.id().to_string()).status();
        assert!(status.unwrap().success());
    }
}

async fn complete(deployment: &Deployment, url: &str) -> reqwest::Result<reqwest::Response> {
    let body = json!({"model": MODEL, "max_tokens": 2, "messages": [{"role": "user", "content": "thawed?"}]});
    deployment.client.post(format!("{url}/v1/chat/completions")).bearer_auth(KEY).json(&body).send().await
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_out_of_service() {
    let mut deployment = Deployment::start(3, 3).await;
    let (child, url) = deployment.spawn(env!("CARGO_BIN_EXE_chestnutstage"), "i9", "b");
    let process = Process(child);
    wait_until("the process serves", async || {
        complete(&deployment, &url).await.is_ok_and(|r| r.status() == 200)
    })
    .await;
    process.signal("STOP");
    let base = deployment.version(0).await;
    let change = Change::ZoneOut("b".into());
    let answer = deployment.change(0, NORTH, base, "the ice plant in zone b stands still", &change).await;
    let answer: Value = answer.json().await.unwrap();
    assert_eq!(answer["progress"], "in_force", "the rollout did not finish without the paused instance");
    let before = deployment.engines[1].submitted();
    // Requests wait at the paused instance, so that it handles them as soon as it resumes.
    let waiting: Vec<_> = (0..8)
        .map(|_| {
            let (client, url) = (deployment.client.clone(), url.clone());
            let body =
                json!({"model": MODEL, "max_tokens": 2, "messages": [{"role": "user", "content": "?"}]});
            let request = client.post(format!("{url}/v1/chat/completions")).bearer_auth(KEY).json(&body);
            tokio::spawn(request.send())
        })
        .collect();
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    process.signal("CONT");
    for answer in waiting {
        let status = answer.await.unwrap().unwrap().status();
        assert!(status == 200 || status == 503, "{status}");
    }
    wait_until("it serves again", async || {
        complete(&deployment, &url).await.is_ok_and(|r| r.status() == 200)
    })
    .await;
    assert_eq!(
        deployment.engines[1].submitted(),
        before,
        "new requests were sent to the zone out of service"
    );
}
