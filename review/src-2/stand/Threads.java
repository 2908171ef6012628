package stand;

/** Starts threads that do not keep the process, and pauses. */
public final class Threads {
    private Threads() {}

    /** Something that may fail. */
    public interface Work {
        void run() throws Exception;
    }

    public static Thread start(String name, Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (Exception e) {
                        if (!(e instanceof java.io.IOException)) {
                            e.printStackTrace();
                        }
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
