/* The settings of cardamomd.  */
#include <stddef.h>

#include "node.h"

/* Rows of the table: flag, field of node_settings_t, default, and for a number
   its range and unit, then the help text.  */
#define TEXT(flag, field, preset, description)                                \
  {                                                                           \
    .name = flag, .kind = CS_SETTING_TEXT,                                    \
    .offset = offsetof (node_settings_t, field), .default_value = preset,     \
    .help = description                                                       \
  }
#define SECRET(flag, field, preset, description)                              \
  {                                                                           \
    .name = flag, .kind = CS_SETTING_SECRET,                                  \
    .offset = offsetof (node_settings_t, field), .default_value = preset,     \
    .help = description                                                       \
  }
#define NUMBER(flag, field, preset, lowest, highest, unit_name, description)  \
  {                                                                           \
    .name = flag, .kind = CS_SETTING_NUMBER,                                  \
    .offset = offsetof (node_settings_t, field), .default_value = preset,     \
    .min = lowest, .max = highest, .unit = unit_name, .help = description     \
  }

const cs_setting_t node_setting_table[] = {
  TEXT ("node", node, NULL, "name of this node, unique in the mesh"),
  TEXT ("dc", dc, NULL, "data centre this node is in"),
  TEXT ("region", region, NULL, "region of the data centre"),
  TEXT ("host", host, "127.0.0.1", "IP number to listen on and be reached at"),
  NUMBER ("port", port, "7080", 1, 65535, "port", "callers' HTTP port"),
  NUMBER ("peer-port", peer_port, "7090", 1, 65535, "port",
          "port for the other nodes"),
  TEXT ("admin-host", admin_host, "127.0.0.1",
        "IP number of the operators' port"),
  NUMBER ("admin-port", admin_port, "7070", 1, 65535, "port",
          "operators' and announcements' HTTP port"),
  TEXT ("seeds", seeds, "",
        "peer addresses IP:PORT of other nodes, separated by commas"),
  TEXT ("dcs", dcs, "",
        "all data centres of the mesh, separated by commas, the same on every "
        "node; empty: this one is the only one"),
  TEXT ("platform", platform, "http", "kind of platform service"),
  TEXT ("platform-address", platform_address, "127.0.0.1:7001",
        "address IP:PORT of the platform"),
  SECRET ("cluster-key", cluster_key, NULL,
          "key shared by all nodes, 32 characters or more; @FILE reads it"),
  SECRET ("cluster-key-old", cluster_key_old, "",
          "second key accepted while keys are rotated"),
  TEXT ("balancer", balancer, "least-cost", "choice among upstreams"),
  TEXT ("limiter", limiter, "gradient", "concurrency limit of the upstream"),
  TEXT ("judge", judge, "cusum", "test of new versions against old"),
  TEXT ("log-level", log_level, "info", "err, warning, notice or info"),
  NUMBER ("body-max", body_max, "1048576", 0, 16777216, "bytes",
          "largest body of a request or an answer"),
  NUMBER ("memory-mb", memory_mb, "256", 0, 1048576, "MB",
          "memory of the process; half of it is for bodies; 0: any"),
  NUMBER ("connections-max", connections_max, "1000", 1, 10000, "connections",
          "callers' connections at a time"),
  NUMBER ("queue-max", queue_max, "64", 0, 10000, "requests",
          "requests that may wait for the upstream"),
  NUMBER ("drain-ms", drain_ms, "30000", 0, 600000, "milliseconds",
          "longest wait for requests in flight at a stop"),
  NUMBER ("announce-ttl-ms", announce_ttl_ms, "5000", 100, 600000,
          "milliseconds", "life of an announcement that names none"),
  NUMBER ("link-bytes-per-s", link_bytes_per_s, "65536", 0, 1000000000,
          "bytes per second",
          "call bytes that this node may send to other regions"),
  NUMBER ("idempotency-retention-s", idempotency_retention_s, "3600", 1, 86400,
          "seconds", "how long an idempotency key is remembered"),
  NUMBER ("false-alarm-ppm", false_alarm_ppm, "10000", 1, 500000,
          "parts per million", "chance that a good version is taken back"),
  NUMBER ("exposure-permille", exposure_permille, "1000", 0, 1000, "permille",
          "part of a service's calls that may go to a bad version; 1000: the "
          "share of a move has no bound"),
  NUMBER ("exposure-slack", exposure_slack, "50", 0, 1000000, "calls",
          "calls besides, in each move"),
  NUMBER ("test-region-delay-ms", test_region_delay_ms, "0", 0, 10000,
          "milliseconds", "delay of frames from other regions, for tests"),
  NUMBER ("test-faults", test_faults, "0", 0, 1, "0 or 1",
          "accept fault commands on the operators' port, for tests"),
};

const size_t node_setting_count = G_N_ELEMENTS (node_setting_table);
