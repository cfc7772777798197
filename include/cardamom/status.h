/* Typed results of every fallible operation.  */
#ifndef CARDAMOM_STATUS_H
#define CARDAMOM_STATUS_H

/* What went wrong, by kind.  The text of the last failure, which names the
   remedy, is kept by the context (see cs_message).  */
typedef enum
{
  CS_OK = 0,
  CS_BAD_INPUT,   /* The caller's data is wrong; sending it again fails.  */
  CS_CONFLICT,    /* Someone else changed the same row first.  */
  CS_NOT_FOUND,   /* No such row, object, document or node.  */
  CS_DENIED,      /* Token or key refused.  */
  CS_UNAVAILABLE, /* The operation did not take effect; try later.  */
  CS_UNKNOWN,     /* The operation may or may not have taken effect.  */
  CS_LIMIT,       /* A bound (size, rate, budget) refused the operation.  */
  CS_CORRUPT,     /* Data failed its digest or its schema.  */
  CS_INTERNAL     /* A defect in this program.  */
} cs_status_t;

/* The lower-case name of STATUS, a static string.  */
const char *cs_status_name (cs_status_t status);

#endif
