/* The owner history of a shard, stored under c/claim/<shard>: the nodes that may have answered the
 * shard's machines since all of them were last fenced. An owner writes it before it answers any
 * machine, so that later owners know which nodes to ask (see shard-takeover.c). No I/O. */
#pragma once
#include "settings.h"
#include <jansson.h>

typedef struct {
  char *holder; /* the node that wrote the value; NULL: none yet, or not known */
  /* every used machine has been fenced, or is gone, since the holder acquired the shard */
  gboolean all_fenced;
  /* names of further nodes that may have answered a machine; NULL: not known */
  GPtrArray *earlier_owners;
  guint64 revision; /* of the stored value; 0: none has been read */
} KrOwnerHistory;

/* Applies a stored value if it is newer than `history`. A field that is missing (an older version
 * wrote the value), has another type or names an unknown node is read as "not known". */
void kr_owner_history_update (KrOwnerHistory *history, json_t *value, guint64 revision,
                              const KrSettings *settings);
/* Returns the names of all nodes that may have answered a machine of the shard since all were last
 * fenced, or NULL if they are not known. The caller frees the array with g_ptr_array_unref(). */
GPtrArray *kr_owner_history_former_owners (const KrOwnerHistory *history);
/* Returns the value to store when `node` acquires the shard from the nodes in `history`. The caller
 * frees it with json_decref(). */
json_t *kr_owner_history_takeover_value (const KrOwnerHistory *history, const char *node);
/* Returns the value to store once the earlier owners need not be asked again: all machines have
 * been fenced (`all_fenced`), or all earlier owners have confirmed that they answer them no more.
 * The caller frees it with json_decref(). */
json_t *kr_owner_history_value_without_earlier (const char *node, gboolean all_fenced);
