/** The answer to a HEAD request that the entry refuses itself has a body. */
final class HeadAnswers {
    public static void main(String[] args) throws Exception {
        Lab.main(args, HeadAnswers::play);
    }

    private static boolean play(Lab lab) throws Exception {
        Lab.Engine engine = lab.engine("s1", "engine-1");
        String route = Lab.route("lookup", "/a/", "safe", "s1", ",\"timeout_ms\":3000");
        lab.putConfig(Lab.config(1, route, "s1").replace("\"key-1\"", "\"key-1\",\"key-2\""));
        engine.beat("ready");
        Lab.Entry entry = lab.entry("entry-1");
        if (!entry.awaitReady(30)) {
            throw new IllegalStateException("the entry is not ready: " + entry.tail(20));
        }
        Thread.sleep(1500);
        Lab.Caller caller = entry.caller();
        caller.send(Lab.Caller.head("HEAD", "/a/x", "head-1", -1).replace("key-1", "key-2"));
        Lab.Message answer = caller.read(5000, true);
        lab.note("head-1: HEAD with key-2 -> %s", answer.first);
        if (Lab.trouble()) {
            lab.putConfig(Lab.config(2, route, "s1"));
            lab.note("key-2 is taken away");
        }
        Thread.sleep(3000);
        caller.send(Lab.Caller.head("HEAD", "/a/x", "head-2", -1).replace("key-1", "key-2"));
        answer = caller.read(5000, true);
        lab.note("head-2: HEAD with key-2 -> %s %s", answer.first, answer.headers);
        caller.send(Lab.Caller.head("GET", "/a/x", "get-3", -1));
        answer = caller.read(5000, false);
        if (answer == null) {
            lab.note("get-3: the channel was closed without an answer");
            return false;
        }
        lab.note("get-3: GET with key-1 -> %s", answer.first);
        return !answer.first.startsWith("HTTP/1.1 ");
    }
}
