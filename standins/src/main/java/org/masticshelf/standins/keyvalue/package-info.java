/**
 * A stand-in for the platform's key-value service, with faults that tests switch.
 */
@NullMarked
package org.masticshelf.standins.keyvalue;

import org.jspecify.annotations.NullMarked;
