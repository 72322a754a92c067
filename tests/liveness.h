/* The checker's liveness rule: 30 s after the last fault every node whose process is alive is
 * ready, and every shard is owned by such a node. */
#pragma once
#include <glib.h>

/* Declares that the last fault is over. A later call postpones the check. */
void liveness_faults_over (void);
