#include "cardamom/header-names.h"

static const cs_header_names_t default_names
    = { .attempt_id = "Cardamom-Attempt",
        .time_remaining = "Cardamom-Deadline-Ms",
        .expected_instance = "Cardamom-Instance",
        .caller_service = "Cardamom-Caller",
        .seal = "Cardamom-Seal",
        .not_run = "Cardamom-Not-Run",
        .server_load = "Cardamom-Load",
        .server_limit = "Cardamom-Limit",
        .server_leaving = "Cardamom-Leaving",
        .instance_id = "Cardamom-Server",
        .cold_ms = "Cardamom-Cold-Ms",
        .workspace = "Cardamom-Workspace" };

const cs_header_names_t *cs_header_names = &default_names;
