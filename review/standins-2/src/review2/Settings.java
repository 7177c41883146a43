package review2;

/** The configuration of an edge node of a small deployment, with the figures of lakes-match. */
final class Settings {
  static final String NODE =
      """
      {"name":"@NAME@","listen":"127.0.0.1:@PORT@","discovery":"@DISCOVERY@","seed":"@SEED@",
       "limits":{"cores":1.0,"memory_mb":192,"sockets":@SOCKETS@},
       "counter":"@COUNTER@","known":@KNOWN@,
       "settings":{
        "my-number":@NUMBER@,"siblings":@NODES@,"my-zone":0,"tick-ns":4000000,"weights":"off",
        "discovery":"automatic","failure-domains":["cleveland-dc"],"skus":["std-2core"],
        "kind-of-service":"gate","layers":["match-fleet"],"tier":0,
        "caps":{"cancel":true,"connect-timeout-ns":250000000,"keepalive-ns":15000000000,
         "max-attempts":6,"max-open":20000,"max-retry-after-ns":1000000000,"may-duplicate":true,
         "may-tell":false,"multiplex":1,"probes":true,"retry-after":true},
        "clients":{"marks-retry":false},
        "domain":{"call-price":0.02,"count-wait-ns":50000000,"has-counter":true,"mail-per-s":0.0,
         "meter-period-ns":0,"trued-up":false,"units-top":1},
        "load-info":{"names":["avg_ms"],"source":"on_probe"},
        "rules":{"answer-slack-ns":16000000,"ask-within-ns":10000000000,"cold-from":0.15,
         "overload-factor":3.0,"ramp-time-ns":18000000000,"stop-sending-within-ns":1000000000,
         "tip-after-ns":1000000000},
        "classes":[
         {"name":"match-lookup","aim-ns":600000000,"deadline-ns":1500000000,"group":"all",
          "idempotency":"retryable","key-ttl-ns":5000000000,"late-value":0.0,"streamed":false,
          "worth":3.0},
         {"name":"item-log","aim-ns":600000000,"deadline-ns":2500000000,"group":"all",
          "idempotency":"dedup","key-ttl-ns":5000000000,"late-value":0.2,"streamed":false,
          "worth":2.0}],
        "tariffs":[
         {"name":"fleet","units-per-s":25.0,"peak-units":32.0,"price":1.4,"at-once":0,
          "beyond-earns":0.0,"beyond-costs":1.0,"hard-rate":0.0,"hard-burst":0.0,
          "hard-slack":0.0}]}}
      """;

  private Settings() {}
}
