/* Real time, real processes: carries the world's messages (fakes.h) over HTTP on loopback. */
#pragma once
#include "fakes.h"

/* Everything of a run is on 127.<net>.0.0/16: runs side by side need different ones. Logs and
 * settings go below `dir`. */
void backend_start (guint net, const char *program, const char *dir, guint32 seed,
                    const SimOptions *options);
/* Whether no other run is on it now. */
gboolean backend_net_is_free (guint net);
/* Ends all processes. */
void backend_stop (void);
/* The node that holds the leader's key; -1: none. */
int backend_leader (void);
/* Broken invariants and ends by themselves, as the nodes' logs tell them. */
void backend_check_logs (void);
