/* Lists a key prefix of the state service, then follows its changes. After a gap in the changes it
 * lists the prefix again. */
#pragma once
#include "state-client.h"

typedef struct KrWatch KrWatch;
/* items: JSON array for kr_wire_key_value_parse(), borrowed; it includes all changes up to
 * `revision`. */
typedef void (*KrWatchListFunc) (json_t *items, guint64 revision, gpointer data);
typedef void (*KrWatchEventFunc) (const KrKeyValue *item, gpointer data);
/* Returns a stopped watch; kr_watch_relist() starts it. */
KrWatch *kr_watch_new (KrStateClient *state, const char *prefix, GCancellable *cancel,
                       KrWatchListFunc on_list, KrWatchEventFunc on_event, gpointer data);
/* Abandons the call in flight and lists the prefix again: the next call of on_list is for a list
 * that was started after this call. */
void kr_watch_relist (KrWatch *watch);
/* Returns the revision up to which all changes have been passed to the callbacks; 0 while a list is
 * in progress or the watch is stopped. */
guint64 kr_watch_revision (const KrWatch *watch);
/* Stops the watch until kr_watch_relist() is called. */
void kr_watch_stop (KrWatch *watch);
