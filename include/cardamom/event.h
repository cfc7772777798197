/* The event log: structured lines on standard output, one for each decision
   that affects a request or changes the node's view of the mesh.  The rate of
   each kind of event is limited.  Lines are buffered and written without
   blocking, so that a slow reader never delays the process.  */
#ifndef CARDAMOM_EVENT_H
#define CARDAMOM_EVENT_H

#include <glib.h>

/* All kinds of events: identifier, name in the log, maximum number of lines
   per second, help text.  */
#define CS_EVENT_TABLE(X)                                                     \
  X (START, "start", 5, "The process runs with these settings.")              \
  X (STOP, "stop", 20, "The process stops, by steps.")                        \
  X (SETTINGS, "settings", 5, "The settings were read again.")                \
  X (CONFIG, "config", 20, "A configuration version is in force.")            \
  X (CONFIG_BAD, "config-refused", 5, "A row was kept out.")                  \
  X (STORE, "store", 10,                                                      \
     "The platform's table was lost, regained or came back older.")           \
  X (ROW_OLD, "row-old", 5,                                                   \
     "A row was kept out, for the node holds a newer one.")                   \
  X (STORE_CALL, "store-call", 10,                                            \
     "A read of the platform's table failed, or brought rows.")               \
  X (READER, "reader", 10, "Who reads the table for this node.")              \
  X (MEMBER, "member", 40, "A node was learnt of or has changed.")            \
  X (PEER, "peer", 40, "A connection to a node was gained or lost.")          \
  X (SERVER, "server", 20, "The backend server beside the node changed.")     \
  X (REPORT, "report", 5, "A status report was kept out.")                    \
  X (REFUSED, "refused", 10, "A request ended unserved, and has not run.")    \
  X (NO_ROUTE, "no-route", 5,                                                 \
     "The configuration in force has no route for a request.")                \
  X (FAILED, "failed", 10, "A request ended in failure.")                     \
  X (REPEATED, "repeated", 10, "A request was sent once more.")               \
  X (UNANSWERED, "unanswered", 40,                                            \
     "The server beside the node left a request without an answer.")          \
  X (CONNECTION_END, "connection-end", 10,                                    \
     "A connection to a server ended under a request.")                       \
  X (MISMATCHED, "mismatched", 10,                                            \
     "The server answered with another request's id; that is dropped.")       \
  X (CRASH, "crash", 40,                                                      \
     "A request is suspected of a server's crash, or no longer.")             \
  X (LIMIT, "limit", 20,                                                      \
     "The server names a limit of requests a second, or that it leaves.")     \
  X (COLD, "cold", 20, "The server beside the node is cold, or warm again.")  \
  X (KEYS, "keys", 20,                                                        \
     "The node refuses keyed requests, or serves them again.")                \
  X (CAP, "cap", 10, "The coordinator of some usage caps changed.")           \
  X (EVACUATION, "evacuation", 20,                                            \
     "A data centre is evacuated, or no longer.")                             \
  X (INPUT, "input", 5, "A caller's message was refused.")                    \
  X (MOVE, "move", 20, "A version move took a step.")                         \
  X (EVIDENCE, "move-evidence", 4,                                            \
     "What the node that conducts a move knows of both versions.")            \
  X (AWAKE, "awake", 5, "The host stood still for a while.")                  \
  X (DROPPED, "dropped", 2, "Lines that the bounds held back.")

typedef enum
{
#define CS_EVENT_ID(id, name, rate, help) CS_E_##id,
  CS_EVENT_TABLE (CS_EVENT_ID)
#undef CS_EVENT_ID
      CS_EVENT_COUNT
} cs_event_t;

/* Set the node name that every line carries.  Not thread-safe: call it before
   other threads log events.  */
void cs_event_set_node (const char *node);

/* Add the line "time=T node=N event=NAME key=value ..." to the buffer; FORMAT
   gives the key=value part.  Control characters are replaced by '?'.  A line
   beyond the rate limit, or beyond the size of the buffer, is dropped; the
   event "dropped" reports how many were.  Any thread may call it.  */
void cs_event_log (cs_event_t event, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* Write as much of the buffer as standard output accepts without blocking.
   Call it several times per second.  */
void cs_event_flush (void);

/* The name and the help text of EVENT, static strings.  */
const char *cs_event_name (cs_event_t event);
const char *cs_event_help (cs_event_t event);

#endif
