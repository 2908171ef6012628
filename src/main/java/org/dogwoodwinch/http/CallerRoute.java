package org.dogwoodwinch.http;

import java.util.Set;

/**
 * Which interface a path belongs to.
 *
 * @param kind the interface
 * @param methods the methods that it takes, not null
 * @param service for a plain service its entry's name; empty elsewhere, not null
 * @param rest for a plain service the path below its root, with the query; empty elsewhere, not null
 */
record CallerRoute(Kind kind, Set<String> methods, String service, String rest) {

    private static final String SERVICES = "/services/";
    private static final String URI_CHARACTERS =
            "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~:/?[]@!$&'()*+,;=%";
    private static final Set<String> SERVICE_METHODS = Set.of("GET", "POST", "PUT", "PATCH", "DELETE");
    private static final CallerRoute CHAT = new CallerRoute(Kind.CHAT, Set.of("POST"), "", "");
    private static final CallerRoute COMPLETION = new CallerRoute(Kind.COMPLETION, Set.of("POST"), "", "");
    private static final CallerRoute MODELS = new CallerRoute(Kind.MODELS, Set.of("GET"), "", "");
    private static final CallerRoute UNKNOWN = new CallerRoute(Kind.UNKNOWN, Set.of(), "", "");

    /** The interfaces. */
    enum Kind {
        /** Chat completions. */
        CHAT,
        /** Completions. */
        COMPLETION,
        /** The list of models. */
        MODELS,
        /** A plain service. */
        SERVICE,
        /** None. */
        UNKNOWN
    }

    /**
     * Finds the interface of a request target.
     *
     * @param uri path and query as they came, not null
     * @return the route, of kind {@link Kind#UNKNOWN} where there is none
     */
    static CallerRoute of(String uri) {
        int queryAt = uri.indexOf('?');
        String path = queryAt < 0 ? uri : uri.substring(0, queryAt);
        return switch (path) {
            case "/v1/chat/completions" -> CHAT;
            case "/v1/completions" -> COMPLETION;
            case "/v1/models" -> MODELS;
            default -> path.startsWith(SERVICES) ? service(path, queryAt < 0 ? "" : uri.substring(queryAt)) : UNKNOWN;
        };
    }

    /** A dot segment is refused: resolved by the service, it could reach above the entry's root. */
    private static CallerRoute service(String path, String query) {
        String below = path.substring(SERVICES.length());
        int slash = below.indexOf('/');
        String name = slash < 0 ? below : below.substring(0, slash);
        String rest = slash < 0 ? "/" : below.substring(slash);
        if (name.isEmpty() || hasDotSegment(rest) || !isUriText(rest + query)) {
            return UNKNOWN;
        }
        return new CallerRoute(Kind.SERVICE, SERVICE_METHODS, name, rest + query);
    }

    private static boolean hasDotSegment(String path) {
        for (String segment : path.replace("%2e", ".").replace("%2E", ".").split("/", -1)) {
            if (segment.equals(".") || segment.equals("..")) {
                return true;
            }
        }
        return path.contains("\\")
                || path.contains("%2f")
                || path.contains("%2F")
                || path.contains("%5c")
                || path.contains("%5C");
    }

    /** Only characters that RFC 3986 allows: servers differ in what they make of others. */
    private static boolean isUriText(String text) {
        return text.chars().allMatch(character -> URI_CHARACTERS.indexOf(character) >= 0);
    }
}
