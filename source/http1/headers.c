#include "cardamom/headers.h"

static const cs_headers_t default_names = { .attempt = "Cardamom-Attempt",
                                            .deadline = "Cardamom-Deadline-Ms",
                                            .instance = "Cardamom-Instance",
                                            .caller = "Cardamom-Caller",
                                            .seal = "Cardamom-Seal",
                                            .not_run = "Cardamom-Not-Run",
                                            .load = "Cardamom-Load",
                                            .server = "Cardamom-Server" };

const cs_headers_t *cs_headers = &default_names;
