import java.util.Locale;

/** The configuration of an edge node: settings of lakes-match, as on the wire page. */
final class Config {
  private Config() {}

  static String json(
      int number, int nodes, int port, String discovery, String counter, String known) {
    return String.format(
        Locale.ROOT,
        """
        {"name":"n%d","listen":"127.0.0.1:%d","discovery":"%s","seed":"%016x",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
         "counter":"%s",
         "known":%s,
         "settings":{"my-number":%d,"siblings":%d,"my-zone":0,"tick-ns":4000000,"tier":0,
          "weights":"off","discovery":"automatic","kind-of-service":"gate",
          "failure-domains":["cleveland-dc"],"skus":["std-2core"],"layers":["match-fleet"],
          "caps":{"cancel":true,"connect-timeout-ns":250000000,"cpu-us-per-request":0.0,
           "cpu-us-per-s":500000,"keepalive-ns":15000000000,"max-attempts":6,"max-open":20000,
           "max-retry-after-ns":1000000000,"may-duplicate":true,"may-tell":false,"multiplex":100,
           "probes":true,"retry-after":true},
          "classes":[
           {"name":"match-lookup","aim-ns":600000000,"deadline-ns":1500000000,"group":"all",
            "idempotency":"retryable","key-ttl-ns":5000000000,"late-value":0.0,"streamed":false,
            "worth":3.0},
           {"name":"item-log","aim-ns":600000000,"deadline-ns":2500000000,"group":"all",
            "idempotency":"dedup","key-ttl-ns":5000000000,"late-value":0.2,"streamed":false,
            "worth":2.0}],
          "clients":{"marks-retry":false},
          "domain":{"call-price":0.02,"count-wait-ns":50000000,"has-counter":true,"mail-per-s":0.0,
           "meter-period-ns":0,"trued-up":false,"units-top":1},
          "goal":{"whole":0.5,"worst-class":0.1,"worst-tenant":0.15,"worst-window":0.25},
          "load-info":{"names":["avg_ms"],"source":"on_probe"},
          "prices":{"late-fail":0.08,"probe":0.022,"waste":0.16},
          "rules":{"answer-slack-ns":16000000,"ask-within-ns":10000000000,"cold-from":0.15,
           "overload-factor":3.0,"ramp-time-ns":18000000000,"stop-sending-within-ns":1000000000,
           "tip-after-ns":1000000000},
          "tariffs":[
           {"name":"dock","units-per-s":1.0,"peak-units":4.0,"price":0.88,"at-once":0,
            "beyond-costs":1.0,"beyond-earns":0.0,"hard-rate":0.0,"hard-burst":0.0,"hard-slack":0.0},
           {"name":"harbor","units-per-s":6.6,"peak-units":18.0,"price":1.3,"at-once":0,
            "beyond-costs":0.6,"beyond-earns":0.0,"hard-rate":0.0,"hard-burst":0.0,"hard-slack":0.0},
           {"name":"fleet","units-per-s":25.0,"peak-units":32.0,"price":1.4,"at-once":0,
            "beyond-costs":1.0,"beyond-earns":0.0,"hard-rate":0.0,"hard-burst":0.0,"hard-slack":0.0}]
         }}
        """,
        number, port, discovery, 0x9e3779b97f4a7c15L * (number + 1), counter, known, number, nodes);
  }
}
