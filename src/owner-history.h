/* A part's claim, c/claim/<part>: which nodes may have answered its machines since all of them were
 * last fenced. An owner writes it before it answers any machine, so that its successors know whom
 * to ask (see shard-takeover.c). No I/O. */
#pragma once
#include "settings.h"
#include <jansson.h>

typedef struct {
  char *holder;        /* node that wrote it; NULL: nobody yet, or not known */
  gboolean all_fenced; /* every used machine was fenced, or is gone, since the holder took over */
  GPtrArray *
      earlier_owners; /* names of further nodes that may have answered a machine; NULL: not known */
  guint64 revision;
} KrOwnerHistory;

/* Takes in a stored value that is newer. What is missing (an older node wrote it), of another type
 * or names an unknown node is read as "not known". */
void kr_owner_history_update (KrOwnerHistory *claim, json_t *value, guint64 revision,
                              const KrSettings *settings);
/* Names of all nodes that may have answered a machine of the part since all were fenced, or NULL:
 * not known. Free with g_ptr_array_unref. */
GPtrArray *kr_owner_history_former_owners (const KrOwnerHistory *claim);
/* The value with which `node` takes the part over from those of `claim`. */
json_t *kr_owner_history_takeover_value (const KrOwnerHistory *claim, const char *node);
/* The value once the earlier owners need not be asked again: all machines were fenced (`settled`),
 * or all of these owners have said that they answer them no more. */
json_t *kr_owner_history_value_without_earlier (const char *node, gboolean settled);
