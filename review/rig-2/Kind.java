import java.util.ArrayList;
import java.util.List;

/** A worker crashes and starts again under its id as one of another kind; tasks that need the old kind must not start. */
final class Kind {
    private static final int LIVES = 8;

    public static void main(String[] args) throws Exception {
        Scene.run(args, Kind::play);
    }

    private static String play(Scene scene) throws Exception {
        scene.configure(1, List.of(Scene.route("grade", "hall")), List.of(Scene.service("hall", false)),
            List.of(Scene.tenant("alpha", 50, 0)));
        String[] broken = {null};
        Worker.Observer observer = new Worker.Observer() {
            @Override
            public void started(Worker worker, Worker.Run run) {
                String needed = run.specification.substring(run.specification.indexOf("needs=") + 6);
                if (!needed.equals(worker.label) && broken[0] == null) {
                    scene.record.line(worker.id + " is of the kind " + worker.label + ", and the task needs " + needed);
                    broken[0] = "ROUTE: " + run.task + " needs a worker of the kind " + needed + " and starts on "
                        + worker.id + " of the kind " + worker.label;
                }
            }
        };
        List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            workers.add(new Worker("w" + i, "m" + i, "hall", 16_000, 65_536, i <= 4 ? "a" : "b", scene.record, observer));
        }
        for (Worker worker : workers) scene.list(worker);
        scene.beat(workers);
        Entry one = scene.entry("entry-1", "", "");
        Entry two = scene.entry("entry-2", "", "");
        scene.awaitReady(one);
        scene.awaitReady(two);
        // Work for each kind, more than its workers can do at once.
        int[] number = {0};
        Thread clients = new Thread(() -> {
            while (true) {
                for (String kind : List.of("a", "b")) {
                    scene.submit(number[0] % 2 == 0 ? one : two, "grade", "alpha", Scene.id(++number[0]),
                        Scene.job("work=900 needs=" + kind, Scene.step(16, 4_000, 900, "Requirements", kind)));
                }
                try {
                    Thread.sleep(1_000);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        clients.setDaemon(true);
        clients.start();
        Thread.sleep(4_000);
        for (int life = 0; life < LIVES && broken[0] == null; life++) {
            Worker worker = workers.get(0);
            if (scene.hasTrouble) {
                worker.end("crashes");
                Thread.sleep(3_000);
                worker.begin(worker.label.equals("a") ? "b" : "a", scene.store);
            }
            Thread.sleep(4_000);
        }
        return broken[0];
    }
}
