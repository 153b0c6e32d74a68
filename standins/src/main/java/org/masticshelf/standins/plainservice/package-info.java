/**
 * A plain service for tests that counts how often each order was executed.
 */
@NullMarked
package org.masticshelf.standins.plainservice;

import org.jspecify.annotations.NullMarked;
