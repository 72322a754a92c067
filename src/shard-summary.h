/* The summary of a shard, which its owner sends to the leader: the demand of its jobs and the state
 * of its machines. Only this module knows the fields of the message. A value that is missing or
 * invalid is read as not known; an entry without what identifies it is ignored. No I/O and no
 * global state. */
#pragma once
#include "allocation.h"

/* What the owner of a machine's shard tells the leader about the machine. */
typedef struct {
  const char *id, *type, *zone; /* borrowed; type, zone: NULL if not known */
  gboolean spot;
  gboolean up;       /* it has been up */
  gboolean leaving;  /* reclaimed, being returned, or silent: it counts as no supply */
  double idle_s;     /* -1: not idle */
  double drain_s;    /* s until it is empty if no further task starts */
  gint target_shard; /* shard that it moves to; -1: none */
} KrMachineSummary;

typedef struct {
  guint shard;
  gboolean has_pending; /* tasks wait for capacity */
  double stored_at;     /* wall clock s at which it was stored; 0: received from the owner */
  GPtrArray *demands;   /* KrDemand */
  GArray *machines;     /* KrMachineSummary */
  guint ignored;        /* entries that were ignored */
  json_t *message;      /* what it was parsed from; holds the strings of `machines` */
} KrShardSummary;

/* Returns NULL if the message is not a summary of a shard below `shard_count`. */
KrShardSummary *kr_shard_summary_parse (json_t *message, guint shard_count);
void kr_shard_summary_free (KrShardSummary *summary);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KrShardSummary, kr_shard_summary_free)

/* The following return new references. */
json_t *kr_demand_to_json (const KrDemand *demand);
json_t *kr_machine_summary_to_json (const KrMachineSummary *machine);
/* Takes over both arrays. */
json_t *kr_shard_summary_to_json (guint shard, gboolean has_pending, json_t *demands,
                                  json_t *machines);
/* Changes a message into the form that is stored in the state service: without the machines, which
 * the machine records hold, and without the demands that do not fit into `demands_max_bytes` of
 * JSON beside those before them. */
void kr_shard_summary_make_stored (json_t *message, gsize demands_max_bytes, double wall_clock_s);
