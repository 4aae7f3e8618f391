use super::*;
use futures_lite::future::{block_on, yield_now};

#[test]
fn cancel_drops_every_task_of_a_group() {
    let executor = Arc::new(Executor::new());
    let tasks = Tasks::new(&executor);
    let token = Arc::new(());
    for _ in 0..3 {
        let token = token.clone();
        tasks.spawn(async move {
            futures_lite::future::pending::<()>().await;
            drop(token);
        });
    }
    tasks.cancel();
    block_on(executor.run(async {
        while Arc::strong_count(&token) > 1 {
            yield_now().await;
        }
    }));
    assert_eq!(Arc::strong_count(&token), 1);
}
