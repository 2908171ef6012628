package org.dogwoodwinch.http;

import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.request.Refusal;

/** Hears nothing. */
final class SilentObserver implements EdgeObserver {

    @Override
    public void onRefusedUnread(String _requestId, Refusal _refusal) {}

    @Override
    public void onAccepted(String _requestId, CatalogueEntry _entry) {}

    @Override
    public void onFirstToken(String _requestId, long _elapsedMillis) {}

    @Override
    public void onNextToken(long _gapMillis) {}

    @Override
    public void onAnswered(String _requestId, CatalogueEntry _entry, int _status, long _tokens, long _elapsedMillis) {}

    @Override
    public void onRefused(String _requestId, CatalogueEntry _entry, Refusal _refusal, boolean _midStream) {}

    @Override
    public void onCallerLeft(String _requestId, CatalogueEntry _entry) {}
}
