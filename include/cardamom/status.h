/* Status codes returned by operations that can fail.  */
#ifndef CARDAMOM_STATUS_H
#define CARDAMOM_STATUS_H

/* Kinds of failure.  The context holds the message of the last failure, which
   names the remedy; see cs_error_message.  */
typedef enum
{
  CS_OK = 0,
  CS_BAD_INPUT,      /* The caller's data is invalid; a retry fails too.  */
  CS_CONFLICT,       /* A concurrent change of the same row came first.  */
  CS_NOT_FOUND,      /* No such row, object, document or node.  */
  CS_DENIED,         /* Authentication failed: wrong token or key.  */
  CS_UNAVAILABLE,    /* The operation did not take effect; retry later.  */
  CS_UNKNOWN,        /* The operation may or may not have taken effect.  */
  CS_LIMIT_EXCEEDED, /* A limit (size, rate, budget) was exceeded.  */
  CS_TOO_LARGE,      /* The result is larger than the caller takes.  */
  CS_CORRUPT,        /* Data does not match its digest or its format.  */
  CS_INTERNAL        /* A defect in this program.  */
} cs_status_t;

/* The lower-case name of STATUS, a static string.  */
const char *cs_status_name (cs_status_t status);

#endif
