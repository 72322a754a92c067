/* Reads all keys below a prefix of the state service, page by page. A page that cannot be read, or
 * is malformed, is asked for again after a pause; the pages before it are kept. */
#pragma once
#include "state-client.h"

typedef struct KrStateList KrStateList;
/* Called for each page, in the order of the keys. `items`: JSON array for
 * kr_wire_key_value_parse(), borrowed, each of which can be parsed; the first page may be empty.
 * `revision`: of the first page; the list may or may not include changes that were made after it.
 * `last`: whether the list is complete. The function may start or stop the list. */
typedef void (*KrStateListPageFunc) (json_t *items, guint64 revision, gboolean last, gpointer data);

/* Returns a stopped list. It lives as long as the process. */
KrStateList *kr_state_list_new (KrStateClient *state, const char *prefix, GCancellable *cancel,
                                KrStateListPageFunc on_page, gpointer data);
/* Starts with the first page. Abandons the list in progress, if there is one. */
void kr_state_list_start (KrStateList *list);
/* Abandons the list in progress; no further page is passed on. */
void kr_state_list_stop (KrStateList *list);
gboolean kr_state_list_is_active (const KrStateList *list);
/* Returns the number of pages read since the list was created. */
guint64 kr_state_list_pages_read (const KrStateList *list);
