package org.dogwoodwinch.http;

/**
 * How a caller wants its answer.
 *
 * @param kind the interface that it called
 * @param stream whether the answer goes out token by token
 * @param includeUsage whether a streamed answer ends with its usage
 */
record AnswerShape(Kind kind, boolean stream, boolean includeUsage) {

    /** The interfaces that callers use. */
    enum Kind {
        /** {@code /v1/chat/completions}. */
        CHAT("chat.completion", "chatcmpl-"),
        /** {@code /v1/completions}. */
        COMPLETION("text_completion", "cmpl-"),
        /** {@code /services}. */
        SERVICE("", "");

        private final String objectName;
        private final String idPrefix;

        Kind(String objectName, String idPrefix) {
            this.objectName = objectName;
            this.idPrefix = idPrefix;
        }

        /**
         * Returns the name of the answer's object.
         *
         * @param stream whether a streamed piece is meant
         * @return the name
         */
        String objectName(boolean stream) {
            return stream && this == CHAT ? objectName + ".chunk" : objectName;
        }

        /**
         * Returns what the answer's id begins with.
         *
         * @return the prefix
         */
        String idPrefix() {
            return idPrefix;
        }
    }
}
