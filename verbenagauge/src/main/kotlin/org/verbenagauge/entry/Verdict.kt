package org.verbenagauge.entry

/**
 * Says whether a request may have run on an endpoint.
 *
 * @property headerValue value of the verdict header of every answer.
 */
public enum class Verdict(
    public val headerValue: String,
) {
    /** The endpoint answered: the request ran, whatever the answer says. */
    RAN("ran"),

    /** No byte of the request reached an endpoint: the request did not run and never will. */
    NOT_RUN("not-run"),

    /** The request left for an endpoint and its outcome is unknown. */
    MAY_HAVE_RUN("may-have-run"),
}
