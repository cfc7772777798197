/* The umbrella header of the cardamomswitch library.  */
#ifndef CARDAMOM_CARDAMOM_H
#define CARDAMOM_CARDAMOM_H

#include "cardamom/accept.h"
#include "cardamom/admission.h"
#include "cardamom/clock.h"
#include "cardamom/context.h"
#include "cardamom/counters.h"
#include "cardamom/dist.h"
#include "cardamom/document.h"
#include "cardamom/http.h"
#include "cardamom/httpd.h"
#include "cardamom/judge.h"
#include "cardamom/keepers.h"
#include "cardamom/limiter.h"
#include "cardamom/log.h"
#include "cardamom/members.h"
#include "cardamom/move.h"
#include "cardamom/once.h"
#include "cardamom/pack.h"
#include "cardamom/platform.h"
#include "cardamom/prober.h"
#include "cardamom/queue.h"
#include "cardamom/records.h"
#include "cardamom/registry.h"
#include "cardamom/retry.h"
#include "cardamom/settings.h"
#include "cardamom/snapshot.h"
#include "cardamom/status.h"
#include "cardamom/str.h"
#include "cardamom/upstream.h"

#endif
