//! Crowds of clients that send much, little or slowly and stay, against an entry host with little memory.
//!
//! Each test checks that the host lives, that its memory and descriptors stay below those of its machine, and that an
//! ordinary client is served while the crowd is still connected.

mod crowds;

use crowds::{
    Crowd, MAX_BODY_BYTES, OTHER_API_KEY, Pressed, chunked_request, large_job, list_job, padded,
    request_head, sized_request,
};
use http::{Method, StatusCode};
use ragwortwick_core::DurationMs;
use ragwortwick_http::{HttpClient, HttpClientOptions};
use ragwortwick_standin::{StoreFault, area_job, wait_until};
use serde_json::{Value, json};

/// Clients of a crowd whose requests are large.
const LARGE_CLIENTS: usize = 400;

/// Clients of a crowd that opens more connections than the host has descriptors.
const MANY_CLIENTS: usize = 1_500;

/// Clients of a crowd that sends as many chunks as bytes.
const CHUNKING_CLIENTS: usize = 200;

/// What a client of such a crowd sends, of the largest body.
const CHUNKED_BYTES: usize = MAX_BODY_BYTES - 1;

fn job_id(number: usize) -> String {
    format!("{number:016x}")
}

/// A job whose tasks wait: no worker has the label that they require.
fn waiting_job(tasks: u32) -> Value {
    json!({"Spec": "", "Steps": [{"Count": tasks, "Cpu": 1000, "Requires": "none"}]})
}

/// Drops the last bytes of a request, so that it never ends.
fn unfinished(mut request: Vec<u8>, missing_bytes: usize) -> Vec<u8> {
    request.truncate(request.len() - missing_bytes);
    request
}

/// Guards against a host that keeps every body that has begun, however many there are.
#[tokio::test(flavor = "multi_thread")]
async fn verify_bodies_that_never_end_stay_within_the_memory() {
    let pressed = Pressed::open().await;
    let body = large_job(MAX_BODY_BYTES).to_string();
    let crowd = Crowd::press(pressed.address(), LARGE_CLIENTS, |number| {
        unfinished(sized_request(&job_id(number), body.as_bytes()), 1)
    })
    .await;
    pressed.close().await;
    drop(crowd);
}

/// Guards against a host that keeps every body that comes in large chunks and does not end.
#[tokio::test(flavor = "multi_thread")]
async fn verify_chunked_bodies_that_never_end_stay_within_the_memory() {
    let pressed = Pressed::open().await;
    let body = large_job(MAX_BODY_BYTES).to_string();
    let crowd = Crowd::press(pressed.address(), LARGE_CLIENTS, |number| {
        let request = chunked_request(&job_id(number), body.as_bytes(), 16 << 10);
        unfinished(request, "0\r\n\r\n".len())
    })
    .await;
    pressed.close().await;
    drop(crowd);
}

/// Guards against a host that keeps more for each chunk than the chunk's content.
#[tokio::test(flavor = "multi_thread")]
async fn verify_bodies_in_chunks_of_one_byte_stay_within_the_memory() {
    let pressed = Pressed::open().await;
    let body = vec![b' '; CHUNKED_BYTES];
    let crowd = Crowd::press(pressed.address(), CHUNKING_CLIENTS, |number| {
        let request = chunked_request(&job_id(number), &body, 1);
        unfinished(request, "0\r\n\r\n".len())
    })
    .await;
    pressed.close().await;
    drop(crowd);
}

/// Guards against a host that keeps accepted jobs that take many times the memory of their bodies.
#[tokio::test(flavor = "multi_thread")]
async fn verify_jobs_with_long_lists_stay_within_the_memory() {
    let pressed = Pressed::open().await;
    let body = list_job(MAX_BODY_BYTES).to_string();
    let crowd = Crowd::press(pressed.address(), LARGE_CLIENTS, |number| {
        sized_request(&job_id(number + 0x1000), body.as_bytes())
    })
    .await;
    crowd.statuses().await;
    pressed.close().await;
}

/// Guards against a host that keeps every accepted job, however large the jobs are in total.
#[tokio::test(flavor = "multi_thread")]
async fn verify_large_jobs_stay_within_the_memory() {
    let pressed = Pressed::open().await;
    let body = large_job(MAX_BODY_BYTES).to_string();
    let crowd = Crowd::press(pressed.address(), LARGE_CLIENTS, |number| {
        sized_request(&job_id(number + 0x1000), body.as_bytes())
    })
    .await;
    crowd.statuses().await;
    pressed.close().await;
}

/// Guards against a coordinator that keeps a state for each task of jobs with a large number of tasks.
#[tokio::test(flavor = "multi_thread")]
async fn verify_jobs_of_many_tasks_stay_within_the_memory() {
    let pressed = Pressed::open().await;
    let body = waiting_job(20_000);
    let crowd = Crowd::press(pressed.address(), LARGE_CLIENTS, |number| {
        sized_request(&job_id(number + 0x1000), body.to_string().as_bytes())
    })
    .await;
    crowd.statuses().await;
    pressed.close().await;
}

/// Guards against a coordinator that starts, records and polls any number of tasks because they need no resources.
#[tokio::test(flavor = "multi_thread")]
async fn verify_tasks_that_need_nothing_stay_within_the_memory() {
    const TASKS: usize = 2_000;
    let pressed = Pressed::open().await;
    let payload = json!({"work_ms": 60_000}).to_string();
    let body = json!({"Spec": payload, "Steps": [{"Count": TASKS, "EstimateMs": 60_000}]});
    let crowd = Crowd::press(pressed.address(), LARGE_CLIENTS, |number| {
        sized_request(&job_id(number + 0x1000), body.to_string().as_bytes())
    })
    .await;
    crowd.statuses().await;
    wait_until("tasks run", async || {
        pressed.fleet.workers.starts().len() >= 100
    })
    .await;
    pressed.close().await;
}

/// Guards against a small host that keeps whatever hosts with more memory accept.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_small_host_bears_what_a_large_one_accepts() {
    let mut pressed = Pressed::open().await;
    let large = pressed.spawn_large_host(2_048).await;
    let mut job = large_job(MAX_BODY_BYTES - 64);
    job["Steps"][0]["Requires"] = json!("none");
    let mut accepted = 0;
    // One after the other, so that each is stored before its client gives up.
    for number in 0..LARGE_CLIENTS / 2 {
        let id = job_id(number + 0x1000);
        let status = pressed.fleet.submit(large, &id, job.clone()).await;
        accepted += u64::from(status.ok() == Some(StatusCode::OK));
    }
    wait_until("the small host knows all jobs", async || {
        pressed.pending(0).await == Some(accepted)
    })
    .await;
    pressed.close().await;
}

/// Guards against a customer that takes all memory for jobs, so that no other customer's are accepted.
#[tokio::test(flavor = "multi_thread")]
async fn verify_jobs_of_one_customer_leave_memory_to_another() {
    let pressed = Pressed::open().await;
    let crowd = Crowd::press(pressed.address(), MANY_CLIENTS, |number| {
        let body = waiting_job(1_000).to_string();
        sized_request(&job_id(number + 0x1000), body.as_bytes())
    })
    .await;
    crowd.statuses().await;
    let job = large_job(MAX_BODY_BYTES);
    wait_until("the other customer's job is accepted", async || {
        let path = "/work/00000000000000cc";
        let fleet = &pressed.fleet;
        let reply = fleet.call_as(OTHER_API_KEY, Method::POST, 0, path, Some(job.clone()));
        reply
            .await
            .is_ok_and(|reply| reply.status == StatusCode::OK)
    })
    .await;
    pressed.close().await;
}

/// Guards against a host that keeps the decoded jobs of all requests that wait for the store.
#[tokio::test(flavor = "multi_thread")]
async fn verify_jobs_that_wait_for_the_store_stay_within_the_memory() {
    let pressed = Pressed::open().await;
    pressed.fleet.store.set_fault(StoreFault::Unresponsive);
    let body = list_job(MAX_BODY_BYTES).to_string();
    let crowd = Crowd::press_together(pressed.address(), LARGE_CLIENTS, |number| {
        sized_request(&job_id(number + 0x1000), body.as_bytes())
    })
    .await;
    crowd.statuses().await;
    pressed.fleet.store.set_fault(StoreFault::None);
    pressed.close().await;
}

/// Guards against a host that calls the store for each client at once and runs out of descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn verify_queries_that_wait_for_the_store_stay_within_the_descriptors() {
    let pressed = Pressed::open().await;
    pressed.fleet.store.set_fault(StoreFault::Unresponsive);
    let crowd = Crowd::press_together(pressed.address(), MANY_CLIENTS, |number| {
        request_head("GET", &format!("/work/{}", job_id(number + 0x1000)), "")
    })
    .await;
    pressed.fleet.store.set_fault(StoreFault::None);
    pressed.close().await;
    drop(crowd);
}

/// Guards against connections without a request that take all descriptors from ordinary clients.
#[tokio::test(flavor = "multi_thread")]
async fn verify_idle_connections_stay_within_the_descriptors() {
    let pressed = Pressed::open().await;
    let crowd = Crowd::press(pressed.address(), MANY_CLIENTS, |_| Vec::new()).await;
    pressed.close().await;
    drop(crowd);
}

/// Guards against heads without an end that take the memory and connections of the host.
#[tokio::test(flavor = "multi_thread")]
async fn verify_heads_that_never_end_stay_within_the_limits() {
    const HEAD_BYTES: usize = 15 << 10;
    let pressed = Pressed::open().await;
    let filler = format!("x-filler: {}\r\n", "x".repeat(HEAD_BYTES));
    let crowd = Crowd::press(pressed.address(), MANY_CLIENTS, |number| {
        unfinished(
            request_head("POST", &format!("/work/{}", job_id(number)), &filler),
            "\r\n".len(),
        )
    })
    .await;
    pressed.close().await;
    drop(crowd);
}

/// Guards against bytes that pile up in the system because the host refuses a request without reading its body.
#[tokio::test(flavor = "multi_thread")]
async fn verify_bodies_that_nobody_reads_stay_within_the_memory() {
    const UNREAD_BYTES: usize = 1 << 20;
    let pressed = Pressed::open().await;
    pressed.fleet.store.set_fault(StoreFault::Unresponsive);
    let length = format!("content-length: {}\r\n", UNREAD_BYTES + 1);
    let crowd = Crowd::press_together(pressed.address(), LARGE_CLIENTS, |number| {
        let path = format!("/work/{}", job_id(number + 0x1000));
        let mut request = request_head("GET", &path, &length);
        request.resize(request.len() + UNREAD_BYTES, b' ');
        request
    })
    .await;
    pressed.fleet.store.set_fault(StoreFault::None);
    pressed.close().await;
    drop(crowd);
}

/// Guards against responses that pile up for clients that send requests and read nothing.
#[tokio::test(flavor = "multi_thread")]
async fn verify_responses_that_nobody_reads_stay_within_the_memory() {
    const REQUESTS: usize = 2_000;
    let pressed = Pressed::open().await;
    let request = request_head("GET", "/work/", "").repeat(REQUESTS);
    let crowd = Crowd::press_together(pressed.address(), LARGE_CLIENTS, |_| request.clone());
    let crowd = crowd.await;
    pressed.close().await;
    drop(crowd);
}

/// Guards against log lines with what clients sent, which pile up while nobody reads the log.
#[tokio::test(flavor = "multi_thread")]
async fn verify_refusals_that_quote_their_requests_stay_within_the_memory() {
    let pressed = Pressed::open().await;
    pressed.fleet.hosts[0].set_reading(false);
    let mut body = json!({"Spec": "", "Steps": []});
    body["x".repeat(MAX_BODY_BYTES - 64)] = json!(0);
    let crowd = Crowd::press(pressed.address(), LARGE_CLIENTS, |number| {
        sized_request(&job_id(number), body.to_string().as_bytes())
    })
    .await;
    crowd.statuses().await;
    pressed.fleet.hosts[0].set_reading(true);
    pressed.close().await;
}

/// Guards against a readiness probe that fails because others took all connections of its port.
#[tokio::test(flavor = "multi_thread")]
async fn verify_probes_and_metrics_are_answered_beside_idle_connections_on_their_ports() {
    let pressed = Pressed::open().await;
    let host = &pressed.fleet.hosts[0];
    let ready = host.ready_address().await.expect("an address");
    let metrics = host.metrics_address().await.expect("an address");
    let request = b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n".repeat(50);
    let probing = Crowd::press(&ready, MANY_CLIENTS, |_| Vec::new()).await;
    let reading = Crowd::press(&metrics, MANY_CLIENTS / 2, |_| request.clone()).await;
    let http = HttpClient::new(&HttpClientOptions::default());
    for (address, path) in [(&ready, "/readiness"), (&metrics, "/metrics")] {
        wait_until(path, async || {
            let reply = http.send(Method::GET, address, path, None, DurationMs(3_000));
            reply
                .await
                .is_ok_and(|reply| reply.status == StatusCode::OK)
        })
        .await;
    }
    pressed.close().await;
    drop((probing, reading));
}

/// Guards against a client that holds its request, and all that belongs to it, by a deadline of its own choice.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_client_can_not_hold_its_request_for_ever() {
    let pressed = Pressed::open().await;
    pressed.fleet.store.set_fault(StoreFault::Unresponsive);
    let body = area_job(1, 50, false).to_string();
    let headers = format!(
        "x-deadline-ms: 86400000\r\ncontent-length: {}\r\n",
        body.len()
    );
    let mut request =
        b"POST /work/00000000000000bb HTTP/1.1\r\nhost: jobs.example\r\nauthorization: Token key-1\r\n"
            .to_vec();
    request.extend_from_slice(headers.as_bytes());
    request.extend_from_slice(b"\r\n");
    request.extend_from_slice(body.as_bytes());
    // Far beyond the longest deadline; only a request that is held reaches it.
    let limit = std::time::Duration::from_secs(60);
    let answered = tokio::time::timeout(limit, pressed.submit_raw(request)).await;
    assert!(answered.is_ok(), "the request is still held");
    pressed.fleet.store.set_fault(StoreFault::None);
    pressed.close().await;
}

/// Guards against limits that refuse a single request of legal size.
#[tokio::test(flavor = "multi_thread")]
async fn verify_one_request_of_legal_size_is_served_however_it_is_cut() {
    let pressed = Pressed::open().await;
    let large = large_job(MAX_BODY_BYTES).to_string().into_bytes();
    let list = list_job(MAX_BODY_BYTES).to_string().into_bytes();
    let padded = padded(&area_job(1, 50, false), MAX_BODY_BYTES);
    let mut requests = Vec::new();
    for body in [&large, &list, &padded] {
        requests.push((body, None));
        let chunks = [1, 100, 16 << 10, MAX_BODY_BYTES];
        requests.extend(chunks.map(|chunk_bytes| (body, Some(chunk_bytes))));
    }
    for (number, (body, chunk_bytes)) in requests.into_iter().enumerate() {
        let id = job_id(number + 0x100);
        let request = match chunk_bytes {
            Some(chunk_bytes) => chunked_request(&id, body, chunk_bytes),
            None => sized_request(&id, body),
        };
        let status = pressed.submit_raw(request).await;
        assert_eq!(
            status,
            Some(200),
            "request {number}, chunks of {chunk_bytes:?}"
        );
    }
    pressed.close().await;
}
